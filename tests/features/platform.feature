Feature: The log is away, slow or forgets, and jobs hold

  Background:
    Given a system of 2 dispatchers and 3 runners

  @whole-answer @at-most-once @not-run
  Scenario Outline: The log is away before and while jobs come
    Given the log has the fault <fault>
    When a transient job of 6 tasks of 200 ms is submitted to dispatcher-1
    Then the last answer is a completed job
    When a stored job of 2 tasks of 50 ms is submitted to dispatcher-1
    Then the last answer is no acceptance
    And the log is mended
    And every promise is kept

    Examples:
      | fault  |
      | down   |
      | silent |

  @whole-answer @at-most-once
  Scenario Outline: The log is disturbed while a stored job runs
    When a stored job of 8 tasks of 1500 ms is submitted to dispatcher-1
    And 8 tasks have started
    And the log has the fault <fault>
    And 3 seconds pass
    And the log is mended
    Then the job is completed at dispatcher-1
    And every promise is kept

    Examples:
      | fault               |
      | down                |
      | silent              |
      | delay_ms            |
      | lose_append_answers |

  @at-most-once @whole-answer
  Scenario: The log is away for longer than an owner may act without it
    When a stored job of 8 tasks of 3000 ms is submitted to dispatcher-1
    And 8 tasks have started
    And the log has the fault down
    And 8 seconds pass
    And the log is mended
    Then the job is completed at dispatcher-1
    And every promise is kept

  @at-most-once @whole-answer
  Scenario Outline: The partitions move while a stored job runs
    When a stored job of 8 tasks of 1500 ms is submitted to dispatcher-1
    And 8 tasks have started
    And the log does <what>
    Then the job is completed at dispatcher-1
    And the job is completed at dispatcher-2
    And each task has started once
    And every promise is kept

    Examples:
      | what      |
      | rebalance |
      | forget    |

  @whole-answer @at-most-once
  Scenario: A runner is replaced while the log is away
    Given the log has the fault down
    When runner-1 is replaced
    And a transient job of 10 tasks of 200 ms is submitted to dispatcher-1
    Then the last answer is a completed job
    And the log is mended
    And every promise is kept

  @own-answer
  Scenario: A dispatcher starts while the log is away
    When a stored job of 2 tasks of 50 ms is submitted to dispatcher-1
    Then the job is completed at dispatcher-1
    Given the log has the fault down
    When dispatcher-2 is replaced
    And 2 seconds pass
    And the log is mended
    Then the job is completed at dispatcher-2
    And every promise is kept

  @own-answer
  Scenario: A dispatcher stands still while its partitions are another's
    When dispatcher-1 is frozen
    And 3 seconds pass
    And 12 stored jobs of 1 tasks of 50 ms are completed at dispatcher-2
    And dispatcher-1 goes on
    Then every one of these jobs is known at dispatcher-1
    And every promise is kept

  # Guards against an epoch that a restarted dispatcher shares with its predecessor.
  @whole-answer
  Scenario: The dispatchers start again while the log refuses calls
    When 4 stored jobs of 1 tasks of 50 ms are completed at dispatcher-1
    And the log has the fault down
    And dispatcher-1 is replaced
    And dispatcher-2 is replaced
    And 2 seconds pass
    And the log is mended
    And the dispatchers are ready
    And 8 stored jobs of 1 tasks of 50 ms are completed at dispatcher-1
    And every process is killed at once and started again
    Then every one of these jobs is known at dispatcher-1
    And every promise is kept
