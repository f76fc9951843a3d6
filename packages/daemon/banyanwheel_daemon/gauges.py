"""The gauges of a dispatcher."""

__all__ = ["register_gauges"]


def register_gauges(gauge, owner, gateway, held_bytes, clock):
    """Registers the gauges by ``gauge(name, read)``.

    ``held_bytes()`` returns the memory of open jobs, ``clock()`` the owner's seconds.
    """
    gauge("banyanwheel.configuration.version", lambda: gateway.version)
    gauge("banyanwheel.evacuations", lambda: len(owner.evacuations.names))
    gauge("banyanwheel.partitions", lambda: len(owner.partitions))
    gauge("banyanwheel.jobs.transient", lambda: len(owner.transient.jobs))
    gauge("banyanwheel.jobs.pending", lambda: sum(owner.pending.values()))
    gauge(
        "banyanwheel.waiting.core_seconds",
        lambda: sum(owner.waiting_cpu_ms.values()) / 1_000_000,
    )
    gauge("banyanwheel.jobs.bytes", held_bytes)
    gauge("banyanwheel.requests.open", lambda: gateway.open_requests)
    gauge("banyanwheel.runners.usable", lambda: owner.usable_runners(clock()))
    gauge("banyanwheel.room.free.millicores", lambda: owner.free_cpu(clock()))
    interference = owner.placement.interference
    if interference is not None:
        gauge("banyanwheel.interference.pairs", lambda: len(interference.pairs))
