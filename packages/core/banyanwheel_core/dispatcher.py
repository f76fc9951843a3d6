"""Places the waiting tasks of a coordinator: asks executors for slots."""

from .effects import Count, Peer, Send
from .messages import Reserve
from .placement import Candidate
from .reservations import FlowQueue, Reservation

__all__ = ["Dispatcher", "fits"]

RETRY_SECONDS = 0.1  # while no executor can be asked


def fits(member, needs):
    """Tells whether a worker has what a task needs."""
    return (
        needs.memory_mb <= member.memory_mb
        and needs.accelerators <= member.accelerators
    )


class Dispatcher:
    """Keeps as many slots asked for as tasks wait, no more and no fewer."""

    def __init__(self, members, placement, limits, timers):
        self._members = members
        self._placement = placement
        self._limits = limits
        self._timers = timers
        self._queues = {}

    @property
    def awaited(self):
        """Names of executors that owe an answer to a reservation."""
        return {
            name
            for queue in self._queues.values()
            for name, reservation in queue.reservations.items()
            if reservation.open
        }

    def queue(self, flow):
        """Returns the queue of a flow."""
        if flow not in self._queues:
            self._queues[flow] = FlowQueue(flow)
        return self._queues[flow]

    def executors(self, service):
        """The partners that offer a service and have slots at present."""
        partners = self._members.partners(service, self._limits.partners)
        return [member for member in partners if member.slots]

    def place(self, flow, now):
        """Asks for the slots that are missing, and returns those not needed."""
        queue = self.queue(flow)
        asked = {}
        for needs in queue.needs:
            self._place_needs(queue, needs, asked, now)
        if queue.waiting > queue.open:
            self._timers.set(("place", flow), now + self._pause(queue, now))
        effects = [self._reserve(queue, name, now) for name in asked]
        return effects + self._return_surplus(queue, now)

    def refresh(self, flow, now):
        """Repeats the reservations that still wait, so that they do not expire."""
        queue = self.queue(flow)
        return [
            self._reserve(queue, name, now)
            for name, reservation in queue.reservations.items()
            if reservation.open
        ]

    def granted(self, sender, message):
        """Notes a grant; tells whether it comes from the incarnation asked."""
        queue = self.queue(message.flow)
        reservation = self._reservation_of(queue, sender)
        if reservation is None:
            return False
        self._catch_up(reservation, sender.name, message.granted)
        return True

    def queued(self, sender, message, now):
        """Notes that a reservation waits; may move it to a free executor."""
        queue = self.queue(message.flow)
        reservation = self._reservation_of(queue, sender)
        if reservation is None:
            return []
        self._catch_up(reservation, sender.name, message.granted)
        moved = []
        if message.wait_ms > self._limits.move_wait_ms:
            moved = self._move(queue, sender.name, now)
        return moved + self.place(queue.flow, now)

    def refused(self, sender, message, now):
        """Leaves out for a while an executor that refused a reservation."""
        queue = self.queue(message.flow)
        reservation = self._reservation_of(queue, sender)
        if reservation is None:
            return []
        self._catch_up(reservation, sender.name, message.granted)
        self._lower(reservation, sender.name, reservation.open)
        reservation.refused_until = now + message.retry_after_ms / 1_000
        count = Count("placements_moved", message.reason)
        return [count, *self.place(queue.flow, now)]

    def repeat(self, name, now):
        """Repeats what was asked of an executor over a new connection."""
        return [
            self._reserve(queue, name, now)
            for queue in self._queues.values()
            if name in queue.reservations and queue.reservations[name].open
        ]

    def withdraw(self, name, now):
        """Places elsewhere what was asked of an executor that does not answer."""
        effects = []
        for queue in list(self._queues.values()):
            reservation = queue.reservations.get(name)
            if reservation is not None and reservation.open:
                self._lower(reservation, name, reservation.open)
                effects += self.place(queue.flow, now)
        return effects

    def replaced(self, name, incarnation, now):
        """Forgets what was asked of an earlier incarnation."""
        effects = []
        for queue in list(self._queues.values()):
            reservation = queue.reservations.get(name)
            if reservation is None or reservation.incarnation == incarnation:
                continue
            del queue.reservations[name]
            self._placement.asked(name, -reservation.open)
            effects += self.place(queue.flow, now)
        return effects

    def why(self, flow):
        """Tells what the waiting tasks of a flow wait for."""
        queue = self.queue(flow)
        asked = sorted(name for name, r in queue.reservations.items() if r.open)
        if asked:
            names = ", ".join(asked)
            return f"{queue.waiting} tasks of its kind wait for a slot at {names}"
        return "no worker that offers the service can be asked now"

    def estimates(self, flow, needs, now):
        """Rows for operators: how each worker compares for a flow."""
        return [
            self._estimate(flow, needs, member, now)
            for member in self.executors(flow.service)
        ]

    def _estimate(self, flow, needs, member, now):
        candidate = Candidate(member.name, member.data_centre, member.slots)
        reservation = self._reservation(self.queue(flow), member)
        return {
            "worker": member.name,
            "expected_ms": round(self._placement.expected_ms(flow, candidate, now)),
            "free_slots": self._placement.free(member.name, now),
            "asked": reservation.open,
            "why": self._left_out(reservation, needs, member, now),
        }

    def _left_out(self, reservation, needs, member, now):
        if not fits(member, needs):
            return "lacks the memory or accelerators that the tasks need"
        if not self._members.usable(member.name, now):
            return "left out: it did not answer"
        if reservation.refused_until > now:
            return "left out: it refused new work"
        if self._placement.ejected(member.name, now):
            return "left out: it fails more tasks than its peers"
        return "may be asked"

    def _place_needs(self, queue, needs, asked, now):
        candidates = self._candidates(queue, needs, now)
        names = {candidate.name for candidate in candidates}
        reservations = queue.reservations.items()
        within = sum(r.open for name, r in reservations if name in names)
        want = min(queue.waiting_with(needs) - within, queue.waiting - queue.open)
        while want > 0:
            chosen = self._placement.choose(queue.flow, candidates, now)
            if chosen is None:
                return
            share = self._placement.share(chosen.name, want, len(candidates), now)
            self._raise(queue.reservations[chosen.name], chosen.name, share)
            asked[chosen.name] = True
            want -= share

    def _pause(self, queue, now):
        """Seconds until an executor that was left out may be asked again."""
        times = [r.refused_until - now for r in queue.reservations.values()]
        return min([time for time in times if time > 0], default=RETRY_SECONDS)

    def _candidates(self, queue, needs, now):
        return [
            Candidate(member.name, member.data_centre, member.slots)
            for member in self.executors(queue.flow.service)
            if fits(member, needs)
            and self._members.usable(member.name, now)
            and self._reservation(queue, member).refused_until <= now
        ]

    def _reservation(self, queue, member):
        known = queue.reservations.get(member.name)
        if known is None or known.incarnation != member.incarnation:
            known = queue.reservations[member.name] = Reservation(member.incarnation)
        return known

    def _reservation_of(self, queue, sender):
        reservation = queue.reservations.get(sender.name)
        if reservation is None or reservation.incarnation != sender.incarnation:
            return None
        return reservation

    def _reserve(self, queue, name, now):
        reservation = queue.reservations[name]
        reservation.sequence += 1
        refresh_at = now + self._limits.reservation_refresh
        self._timers.set(("refresh", queue.flow), refresh_at)
        message = Reserve(
            queue.flow,
            reservation.sequence,
            reservation.granted,
            reservation.upto,
            int(self._placement.fleet_run_ms(queue.flow)),
        )
        return Send(Peer(name, reservation.incarnation), message)

    def _return_surplus(self, queue, now):
        """Gives back slots asked for that no waiting task needs any more."""
        effects = []
        surplus = queue.open - queue.waiting
        for name, reservation in queue.reservations.items():
            if surplus <= 0:
                break
            returned = min(surplus, reservation.open)
            if returned:
                surplus -= returned
                self._lower(reservation, name, returned)
                effects.append(self._reserve(queue, name, now))
        return effects

    def _move(self, queue, name, now):
        """Moves a reservation that must wait to an executor with free slots."""
        reservation = queue.reservations[name]
        target = self._free_candidate(queue, name, now)
        if target is None or not reservation.open:
            return []
        moved = min(reservation.open, self._placement.free(target.name, now))
        self._lower(reservation, name, moved)
        self._raise(queue.reservations[target.name], target.name, moved)
        return [
            self._reserve(queue, name, now),
            self._reserve(queue, target.name, now),
        ]

    def _free_candidate(self, queue, name, now):
        if not queue.needs:
            return None
        free = [
            candidate
            for candidate in self._candidates(queue, queue.needs[0], now)
            if candidate.name != name and self._placement.free(candidate.name, now)
        ]
        return self._placement.choose(queue.flow, free, now)

    def _raise(self, reservation, name, slots):
        reservation.upto += slots
        self._placement.asked(name, slots)

    def _lower(self, reservation, name, slots):
        reservation.upto -= slots
        self._placement.asked(name, -slots)

    def _catch_up(self, reservation, name, granted):
        """Takes in the executor's own count of the slots it has granted."""
        before = reservation.open
        reservation.granted = max(reservation.granted, granted)
        reservation.upto = max(reservation.upto, reservation.granted)
        self._placement.asked(name, reservation.open - before)
