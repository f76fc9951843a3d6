Feature: A worker leaves, stands still, fails or answers wrongly

  Background:
    Given a system of 2 dispatchers and 3 runners

  @at-most-once @whole-answer
  Scenario Outline: One worker has a fault
    Given worker-1 has the fault <fault>
    When a <kind> job of 10 tasks of 300 ms is submitted to dispatcher-1
    Then the job is completed at its dispatcher
    And every promise is kept

    Examples:
      | kind      | fault              |
      | transient | hang               |
      | transient | fail_all           |
      | transient | silent             |
      | transient | lose_start_answers |
      | transient | garbage            |
      | transient | slow_factor        |
      | stored    | hang               |
      | stored    | silent             |
      | stored    | lose_start_answers |
      | stored    | garbage            |

  @whole-answer
  Scenario: Every worker fails all that it starts
    Given every worker has the fault fail_all
    When a stored job of 2 tasks of 50 ms is submitted to dispatcher-1
    Then the job is failed at dispatcher-1
    And the job is failed at dispatcher-2
    And each task has started 3 times at most
    And every promise is kept

  @whole-answer @at-most-once
  Scenario: Workers that were silent until their runs lapsed get tasks again
    When a transient job of 6 tasks of 3000 ms is submitted to dispatcher-1
    And 6 tasks have started
    And every worker has the fault silent
    And 5 seconds pass
    And the workers are mended
    And the dispatchers are ready
    And a transient job of 12 tasks of 300 ms is submitted to dispatcher-1
    Then the last answer is a completed job
    And every promise is kept

  @leaving
  Scenario Outline: A worker leaves under load
    Given the log has the fault <fault>
    And callers that submit jobs all the time
    When a worker has started tasks
    And that worker says that it leaves
    And 4 seconds pass
    And the log is mended
    And the callers stop
    Then every transient job of the callers is completed
    And every promise is kept

    Examples:
      | fault |
      | none  |
      | down  |

  @whole-answer
  Scenario: Tasks take ten times as long as estimated
    Given every worker has the fault slow_factor
    When a stored job of 6 tasks of 100 ms is submitted to dispatcher-1
    Then the job is completed at dispatcher-1
    And every promise is kept

  # Guards against ends that are wiped out with the acknowledgements of a former life.
  @at-most-once @non-idempotent
  Scenario: Idle workers start again under their ids, before work comes
    When 6 stored jobs of 6 tasks of 50 ms are completed at dispatcher-1
    And worker-1 starts again under its id, 1000 ms before its first heartbeat
    And worker-2 starts again under its id, 1000 ms before its first heartbeat
    And worker-3 starts again under its id, 1000 ms before its first heartbeat
    And a stored job of 12 tasks of 50 ms is submitted to dispatcher-1
    Then the job is completed at dispatcher-1
    And every promise is kept

  # Guards against a fence that falls back with the clock of a worker's next life.
  @at-most-once @whole-answer
  Scenario: A worker starts again under its id while it runs tasks
    When worker-1 starts again under its id, 1500 ms before its first heartbeat
    And a stored job of 12 tasks of 1500 ms is submitted to dispatcher-1
    And 10 tasks have started
    And worker-1 starts again under its id, 200 ms before its first heartbeat
    Then the job is completed at dispatcher-1
    When a stored job of 12 tasks of 300 ms is submitted to dispatcher-1
    Then worker-1 starts tasks of that job
    And the job is completed at dispatcher-1
    And every promise is kept

  # Guards against runs that are given up on the word of a former life of their worker.
  @at-most-once
  Scenario Outline: Late messages say that workers have left, while they run tasks
    When a <kind> job of 12 tasks of 1000 ms is submitted to dispatcher-1
    And 12 tasks have started
    And late messages say that the workers have left
    Then the job is completed at its dispatcher
    And each task has started once
    And every promise is kept

    Examples:
      | kind      |
      | transient |
      | stored    |

  # Guards against a worker that is put out of use by whoever calls its runner.
  @at-most-once @whole-answer
  Scenario Outline: Heartbeats of another writer reach the runners, while tasks run
    When a <kind> job of 12 tasks of 1000 ms is submitted to dispatcher-1
    And 12 tasks have started
    And heartbeats of another writer reach the runners
    Then the job is completed at its dispatcher
    And each task has started once
    And every promise is kept

    Examples:
      | kind      |
      | transient |
      | stored    |
