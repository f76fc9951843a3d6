"""What a dispatcher exchanges regularly with runners and other dispatchers."""

from banyanwheel_jobs.cells.cell import build_cells
from banyanwheel_jobs.cells.election import Election
from banyanwheel_jobs.cells.placers import offers_of
from banyanwheel_jobs.messages import Claims, Heartbeat
from banyanwheel_jobs.placing.runner_view import RunnerView

from .clocks import boot_time
from .role import DISPATCHER, RUNNER

__all__ = ["Contacts"]

CONTACTS_PER_REMOTE_CLAIMS = 5  # dispatchers elsewhere get each fifth claims
REOPEN_AFTER_S = 1.0  # a silent runner's connection is opened anew
OFFERS_MAX_AGE_S = 0.02  # many requests in a moment need not each sum up the room


class Contacts:
    """Sends heartbeats to the runners that are needed, and claims to dispatchers.

    ``peers()`` returns the :class:`Peers`; ``stopping()`` tells whether the process
    shuts down.
    """

    def __init__(
        self,
        process,
        owner,
        members,
        placers,
        hosted,
        ownership,
        event_log,
        *,
        peers,
        stopping,
    ):
        self._process = process
        self._owner = owner
        self._members = members
        self._placers = placers
        self._hosted = hosted
        self._ownership = ownership
        self._event_log = event_log
        self._peers = peers
        self._stopping = stopping
        self._election = Election(process.advertised_address, boot_time())
        self._contact_count = 0
        self._withdrawal_due = False
        self._offers = ()
        self._offers_at = float("-inf")

    @property
    def placing(self):
        """Whether this dispatcher places tasks in any cell."""
        return bool(self._election.placing)

    def offers(self):
        """Returns the ServiceOffers of this dispatcher, None if it places no tasks."""
        if not self._election.placing:
            return None
        now = boot_time()
        if now - self._offers_at > OFFERS_MAX_AGE_S:
            self._offers = self._sum_up_offers(now)
            self._offers_at = now
        return self._offers

    def peek_offers(self):
        """Returns what :meth:`offers` would return, and keeps nothing of it."""
        if not self._election.placing:
            return None
        now = boot_time()
        fresh = now - self._offers_at <= OFFERS_MAX_AGE_S
        return self._offers if fresh else self._sum_up_offers(now)

    def _sum_up_offers(self, now):
        own = [view for view in self._owner.views.values() if not view.borrowed]
        return offers_of(own, now, self._owner.waiting_cpu_ms, self._placers.demand)

    def contact(self):
        """Sends the heartbeats that are due, and decides which runners to contact."""
        self._update_election()
        self._update_views()
        self._contact_runners(self._owner.views)
        self._contact_count += 1
        everyone = self._contact_count % CONTACTS_PER_REMOTE_CLAIMS == 0
        self.send_claims(everyone=everyone)

    def announce_partitions(self):
        """Tells all processes at once of partitions that were opened or closed."""
        self._update_views()
        self._contact_runners(self._owner.views)
        self.send_claims(everyone=True)

    def update_cells(self):
        """Derives the cells anew from the list of members."""
        dispatchers = self._members.hosts(DISPATCHER)
        self._election.set_cells(build_cells(dispatchers, self._members.hosts(RUNNER)))
        self._placers.set_near(self._near_dispatchers(dispatchers))
        self._placers.forget_absent({host.address for host in dispatchers})
        self._update_election()
        self._update_views()

    def _update_election(self):
        """Decides anew in which cells to place tasks."""
        now = boot_time()
        changed = self._election.update(self._placers.live(now), now)
        names = [cell.name for cell in self._election.placing]
        self._placers.set_own_cells(names)
        if changed:
            self._event_log("cells:placing", cells=names)
            self._ownership.renew_soon()

    def _near_dispatchers(self, dispatchers):
        """Returns the dispatchers of this data centre and of the cells it is in."""
        process = self._process
        near = {
            host.address
            for host in dispatchers
            if host.data_centre == process.data_centre
        }
        for cell in self._election.cells:
            if process.advertised_address in cell.candidates:
                near.update(cell.candidates)
        return near - {process.advertised_address}

    def _update_views(self):
        """Adds views of the runners that are needed now, and drops the others."""
        needed = set(self._election.runners)
        known = {host.address: host for host in self._members.hosts(RUNNER)}
        if self._needs_all_runners(boot_time()):
            needed.update(known)
        needed &= known.keys()
        homes = self._election.homes(self._placers.live(boot_time()))
        added = needed - self._owner.views.keys()
        for address in added:
            view = RunnerView(address, known[address].data_centre)
            view.evacuation = self._owner.evacuations.covers(view.data_centre)
            self._owner.views[address] = view
            self._event_log("runner:known", runner=address)
        for address, view in self._owner.views.items():
            view.home = address in homes
            view.borrowed = self.placing and address not in self._election.runners
        self._contact_runners(added)
        self._drop_views(self._owner.views.keys() - needed, known)

    def _needs_all_runners(self, now):
        """Returns whether the runners of the own cells may not be enough.

        Stored jobs are not forwarded. If they have waited for room here while other
        cells have much of it, their owner places them there itself.
        """
        return self._owner.needs_all_runners(now) or any(
            self._placers.has_roomy_offer(submission, now)
            for submission in self._owner.waiting_for_room(now)
        )

    def _drop_views(self, unneeded, known):
        """Drops views of runners that have no runs or ends of this dispatcher.

        Jobs that wait may still need them, after this dispatcher has stepped down.
        """
        if not unneeded:
            return
        if self._owner.has_waiting_jobs and not self.placing:
            unneeded = unneeded - known.keys()
        for address in unneeded - self._owner.runners_in_use():
            if address not in known or not self._owner.views[address].listed:
                del self._owner.views[address]
                self._event_log("runner:gone", runner=address)

    def _contact_runners(self, addresses):
        """Sends heartbeats to runners; reopens the connection to a silent one."""
        now = boot_time()
        for address, stop in self._owner.pending_stops():
            if address in addresses:
                self._peers().send(
                    address, stop, self._owner.views[address].incarnation
                )
        claims = self._ownership.claims
        confirmed = self._owner.confirmed_stamps()
        for address in addresses:
            view = self._owner.views[address]
            if now - view.heard_at > REOPEN_AFTER_S and now - view.reopened_at > (
                REOPEN_AFTER_S
            ):
                view.reopened_at = now
                self._peers().reopen(address)
            heartbeat = Heartbeat(
                claims,
                view.trust.stamp,
                view.trust.newest,
                view.incarnation,
                tuple(confirmed.get(address, ())),
                view.home,
            )
            self._peers().send(address, heartbeat)

    def send_claims(self, everyone):
        """Sends claims to the other dispatchers if there is anything to claim.

        Those of other data centres that have no jobs here get them more rarely.
        """
        claims = self._claims()
        any_claims = bool(
            claims.cells or claims.partitions or self._owner.transient.jobs
        )
        if not (any_claims or self._withdrawal_due):
            return
        # Those who heard claims also have to hear that there are none any more.
        self._withdrawal_due = any_claims or not everyone
        others = {*self.other_dispatchers(), *self._hosted.addresses}
        if not everyone:
            others &= self._placers.near | self._hosted.addresses
        for address in others:
            self._peers().send(address, claims)

    def _claims(self):
        """Returns what this dispatcher owns and offers; no cells while it stops."""
        offers = None if self._stopping() else self.offers()
        cells = () if offers is None else self._election.placing
        return Claims(
            tuple(self._owner.partitions),
            self._owner.pending,
            tuple(cell.name for cell in cells),
            offers or (),
            int(boot_time() * 1000),
        )

    def other_dispatchers(self):
        """Returns the addresses of all other dispatchers."""
        own = self._process.advertised_address
        return [
            address
            for address, member in self._members.known.items()
            if member.role == DISPATCHER and address != own
        ]
