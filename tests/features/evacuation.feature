Feature: Nothing starts in an evacuated data centre

  Background:
    Given a system of 2 dispatchers and 3 runners that follow evacuations

  @at-most-once
  Scenario: An evacuation outlives all processes, and its workers serve again afterwards
    When the data centre dc-1 is evacuated by a record of {}
    And every process is killed at once and started again
    And a transient job of 30 tasks of 50 ms is submitted to dispatcher-1
    Then the last answer is a completed job
    And nothing has started in dc-1 since the evacuation
    When the evacuation of dc-1 is lifted
    And a transient job of 60 tasks of 50 ms is submitted to dispatcher-2
    Then worker-1 has started tasks
    And worker-3 has started tasks
    And the last answer is a completed job
    And every promise is kept

  @at-most-once
  Scenario: Tasks that run there end by themselves
    When a transient job of 12 tasks of 2000 ms is submitted to dispatcher-1
    And 12 tasks have started
    And the data centre dc-1 is evacuated by a record of {}
    Then the last answer is a completed job
    And each task has started once
    And nothing has started in dc-1 since the evacuation

  Scenario: An evacuation stays in force while the log is away
    When the data centre dc-1 is evacuated by a record of {}
    And the log has the fault down
    And a transient job of 30 tasks of 50 ms is submitted to dispatcher-2
    Then the last answer is a completed job
    And the log is mended
    And nothing has started in dc-1 since the evacuation

  Scenario: The log forgets older records, and a dispatcher is replaced
    When the data centre dc-1 is evacuated by a record of []
    And the log does forget
    And dispatcher-1 is replaced
    And the dispatchers are ready
    And a stored job of 30 tasks of 50 ms is submitted to dispatcher-1
    Then the job is completed at dispatcher-1
    And nothing has started in dc-1 since the evacuation
    When the evacuation of dc-1 is lifted
    And a transient job of 60 tasks of 50 ms is submitted to dispatcher-1
    Then worker-1 has started tasks

  Scenario: One is lifted and set again at once, and another names no data centre
    When the data centre dc-1 is evacuated by a record of {}
    And the evacuation of dc-1 is lifted and set again at once
    And the data centre dc-9 is evacuated by a record of {}
    And a transient job of 30 tasks of 50 ms is submitted to dispatcher-1
    Then the last answer is a completed job
    And nothing has started in dc-1 since the evacuation
    And "show workers where evacuated = true" has 2 rows at dispatcher-1
    And "show workers where evacuated = true" has 2 rows at dispatcher-2
