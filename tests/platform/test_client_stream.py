import asyncio

from banyanwheel_platform.client_stream import CHUNKS_PER_TURN, ChunkTurns


def test_a_bounded_number_of_chunks_is_read_in_one_turn_of_the_loop():
    """A crowd that sent small ones stopped heartbeats and probes for seconds."""

    async def run():
        turns = ChunkTurns()
        taken = [turns.take() for _ in range(3 * CHUNKS_PER_TURN)]
        waiting = [turn for turn in taken if turn is not None]
        counts = []
        for _ in range(3):
            counts.append(sum(turn.done() for turn in waiting))
            await asyncio.sleep(0)
        assert turns.take() is not None
        return counts

    assert asyncio.run(run()) == [0, CHUNKS_PER_TURN, 2 * CHUNKS_PER_TURN]
