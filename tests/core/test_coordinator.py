from banyanwheel_core.messages import CancelJob, QueryJob, StartTasks, TaskResults
from banyanwheel_core.models import JobState, Outcome, Reason, TaskOutcome
from tests.core.drive import ENTRY, World, spec


def test_a_job_is_answered_whole_and_in_task_order():
    world = World()
    job_id = world.submit(spec(tasks=9))
    world.finish_all()
    (answer,) = world.answers
    assert answer.state == JobState.COMPLETE
    assert [bytes(body) for body in answer.results] == [
        f'["{job_id}",{index}]'.encode() for index in range(9)
    ]
    assert len(set(world.starts)) == len(world.starts) == 9


def test_a_repeat_joins_the_job_and_gets_the_kept_answer():
    world = World()
    job_id = world.submit(spec())
    world.submit(spec(), job_id)
    world.finish_all()
    world.submit(spec(), job_id)
    world.deliver_all()
    assert len(world.starts) == 1
    assert world.answers[0] == world.answers[-1]


def test_another_body_under_an_id_is_a_conflict():
    world = World()
    job_id = world.submit(spec())
    world.submit(spec(kind="other"), job_id, fingerprint="g")
    world.deliver_all()
    assert world.answers[0].reason == Reason.ID_CONFLICT


def test_a_refused_id_stays_refused():
    world = World(executors=0)
    job_id = world.submit(spec())
    world.deliver_all()
    world.add_executor("x0")
    world.submit(spec(), job_id)
    world.finish_all()
    assert [answer.outcome for answer in world.answers] == [Outcome.NOT_RUN] * 2
    assert world.starts == []


def test_an_id_that_was_never_issued_runs_nothing():
    world = World()
    world.submit(spec(), f"c.{'c' * 16}.7.0")
    world.finish_all()
    assert world.answers[0].reason == Reason.UNKNOWN_ID
    assert world.starts == []


def test_an_expired_id_is_not_called_not_run():
    world = World()
    job_id = world.submit(spec())
    world.finish_all()
    world.advance(10_000)
    world.submit(spec(), job_id)
    world.deliver_all()
    assert world.answers[-1].outcome == Outcome.UNKNOWN
    assert len(world.starts) == 1


def test_a_start_after_its_grant_lapsed_is_placed_again():
    world = World(executors=1)
    world.submit(spec())
    world.deliver_until(StartTasks)
    world.advance(1.0)
    world.finish_all()
    assert world.answers[0].state == JobState.COMPLETE
    assert len(world.starts) == 1


def test_a_question_about_an_unused_grant_revokes_it():
    world = World(executors=1)
    world.submit(spec())
    world.deliver_until(StartTasks)
    late_start = world.wire.popleft()
    world.perform(world.me, world.coordinator.peer_silent("x0", world.now))
    world.deliver_all()
    world.deliver(late_start)
    world.finish_all()
    assert len(world.starts) == 1
    assert world.answers[0].state == JobState.COMPLETE


def test_a_lost_result_is_asked_for_and_not_run_again():
    world = World(executors=1)
    world.submit(spec())
    world.deliver_all()
    world.finish()
    world.wire.clear()
    world.perform(world.me, world.coordinator.peer_silent("x0", world.now))
    world.deliver_all()
    assert world.answers[0].state == JobState.COMPLETE
    assert len(world.starts) == 1


def test_a_replaced_executor_makes_its_started_task_unknown():
    world = World(executors=1)
    world.submit(spec())
    world.deliver_all()
    world.perform(world.me, world.coordinator.peer_replaced("x0", "2" * 16, world.now))
    world.deliver_all()
    assert world.answers[0].outcome == Outcome.UNKNOWN
    assert world.answers[0].reason == Reason.WORKER_LOST


def test_an_idempotent_request_is_tried_again_elsewhere():
    world = World(executors=2)
    world.submit(spec(idempotent=True))
    world.deliver_all()
    world.finish(outcome=TaskOutcome.FAILED)
    world.finish_all()
    assert world.answers[0].state == JobState.COMPLETE
    assert len(world.starts) == 2


def test_a_request_not_marked_idempotent_is_never_tried_again():
    world = World(executors=2)
    world.submit(spec())
    world.deliver_all()
    world.finish(outcome=TaskOutcome.UNKNOWN)
    world.finish_all()
    assert world.answers[0].outcome == Outcome.UNKNOWN
    assert len(world.starts) == 1


def test_cancelling_before_a_start_says_not_run_and_starts_nothing():
    world = World(executors=1, slots=1)
    world.submit(spec())
    world.deliver_all()
    waiting = world.submit(spec())
    world.deliver_all()
    world.deliver((ENTRY, world.me, CancelJob(waiting)))
    world.finish_all()
    cancelled = [answer for answer in world.answers if answer.id == waiting]
    assert cancelled[0].outcome == Outcome.NOT_RUN
    assert waiting not in {job_id for job_id, _ in world.starts}


def test_a_deadline_that_passes_while_waiting_says_not_run():
    world = World(executors=1, slots=1)
    world.submit(spec())
    world.deliver_all()
    late = world.submit(spec(deadline_ms=100))
    world.deliver_all()
    world.advance(0.2)
    world.finish_all()
    (answer,) = [answer for answer in world.answers if answer.id == late]
    assert (answer.outcome, answer.reason) == (
        Outcome.NOT_RUN,
        Reason.DEADLINE_PASSED,
    )


def test_asking_for_an_id_that_may_still_be_submitted_does_not_say_not_run():
    world = World()
    job_id = world.job_id()
    world.deliver((ENTRY, world.me, QueryJob(job_id)))
    world.deliver_all()
    assert world.answers[0].outcome is None


def test_a_job_too_late_to_end_in_time_is_refused_before_it_starts():
    world = World(executors=1, slots=1)
    world.submit(spec())
    world.deliver_all()
    late = world.submit(spec(deadline_ms=100))
    world.deliver_all()
    world.advance(0.08)
    world.finish_all()
    (answer,) = [answer for answer in world.answers if answer.id == late]
    assert (answer.outcome, answer.reason) == (
        Outcome.NOT_RUN,
        Reason.DEADLINE_INFEASIBLE,
    )
    assert late not in {job_id for job_id, _ in world.starts}


def test_an_answer_goes_on_to_the_successor_of_a_successor():
    first, second, third = World(), World(), World()
    job_id = first.submit(spec())
    first.finish_all()
    for message in first.coordinator.handover(first.now):
        second.coordinator.handle(first.me, message, second.now)
    for message in second.coordinator.handover(second.now):
        third.coordinator.handle(second.me, message, third.now)
    third.submit(spec(), job_id)
    third.deliver_all()
    assert third.answers == first.answers


def test_a_coordinator_that_stops_takes_no_answers_over():
    leaver, other = World(), World()
    leaver.submit(spec())
    leaver.finish_all()
    other.coordinator.stop()
    for message in leaver.coordinator.handover(leaver.now):
        assert other.coordinator.handle(leaver.me, message, other.now) == []


def test_results_too_large_for_one_answer_fail_the_job_as_ran():
    world = World()
    world.submit(spec(tasks=9))
    world.deliver_all()
    while world.running:
        world.finish(body=b'"' + b"x" * 2**20 + b'"')
        world.deliver_all()
    (answer,) = world.answers
    assert (answer.state, answer.outcome) == (JobState.FAILED, Outcome.RAN)


def test_a_late_copy_of_an_answer_to_an_earlier_start_starts_nothing():
    world = World(executors=1, slots=1)
    world.submit(spec())
    world.deliver_all()
    world.finish(outcome=TaskOutcome.NOT_STARTED)
    world.starts.clear()
    (not_started,) = [x for x in world.wire if isinstance(x[2], TaskResults)]
    world.deliver_all()
    world.add_executor("x1")
    world.members.suspect("x0", world.now)
    world.deliver(not_started)
    world.finish_all()
    assert len(world.starts) == 1
    assert world.answers[0].state == JobState.COMPLETE


def test_an_idempotent_request_can_be_tried_again_at_the_only_worker():
    world = World(executors=1)
    world.submit(spec(idempotent=True))
    world.deliver_all()
    world.finish(outcome=TaskOutcome.FAILED)
    world.finish_all()
    assert world.answers[0].state == JobState.COMPLETE
    assert len(world.starts) == 2
