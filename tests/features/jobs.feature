Feature: Jobs are answered whole, and their tasks run once at a time

  Background:
    Given a system of 2 dispatchers and 3 runners

  @at-most-once @own-answer @non-idempotent
  Scenario: The dispatcher that took a stored job dies, and the caller asks the other
    When a stored job of 4 tasks of 1000 ms is submitted to dispatcher-1
    And 4 tasks have started
    And dispatcher-1 is killed
    And the same id is submitted to dispatcher-2
    Then the job is completed at dispatcher-2
    And every promise is kept

  @at-most-once @own-answer
  Scenario: One id arrives twice at once at both dispatchers
    When a stored job of 6 tasks of 300 ms is submitted to both dispatchers at once
    Then every answer is an acceptance
    And the job is completed at dispatcher-1
    And the job is completed at dispatcher-2
    And each task has started once
    And every promise is kept

  @at-most-once @non-idempotent
  Scenario: A stored job is handed in again after its end
    When a stored job of 2 tasks of 50 ms is submitted to dispatcher-1
    Then the job is completed at dispatcher-1
    When the same id is submitted to dispatcher-2
    And the same id is submitted to dispatcher-1
    Then every answer is an acceptance
    And each task has started once
    And every promise is kept

  @at-most-once @not-run
  Scenario Outline: An id is used again for another job
    When a stored job of 2 tasks of 1000 ms is submitted to dispatcher-1
    And 2 tasks have started
    And another job is submitted under the same id to <dispatcher>
    Then the last answer is a conflict
    And the job is completed at dispatcher-1
    And each task has started once
    And every promise is kept

    Examples:
      | dispatcher   |
      | dispatcher-1 |
      | dispatcher-2 |

  @at-most-once @whole-answer
  Scenario Outline: The owner of a job is lost while its tasks run
    When a stored job of 6 tasks of 3000 ms is submitted to dispatcher-1
    And 6 tasks have started
    And the owner is <lost>
    Then the job is completed at the other dispatcher
    And each task has started once
    And every promise is kept

    Examples:
      | lost     |
      | killed   |
      | replaced |

  @graceful-stop @own-answer
  Scenario Outline: The owner of a job stops gracefully
    When a stored job of 6 tasks of <run> ms is submitted to dispatcher-1
    And 6 tasks have started
    And the owner is asked to stop
    And the owner has ended well
    Then the job is completed at the other dispatcher
    And each task has started once
    And every promise is kept

    Examples:
      | run  |
      | 300  |
      | 3000 |

  @at-most-once @whole-answer
  Scenario: The owner is frozen past every timeout and goes on
    When a stored job of 8 tasks of 4000 ms is submitted to dispatcher-1
    And 8 tasks have started
    And the owner is frozen
    And 7 seconds pass
    And the owner goes on
    Then the job is completed at the other dispatcher
    And every promise is kept

  @at-most-once @whole-answer
  Scenario Outline: The dispatcher of a transient job is lost, and the caller comes again
    When a transient job of 6 tasks of 1500 ms is submitted to dispatcher-1
    And 6 tasks have started
    And dispatcher-1 is <lost>
    And the same id is submitted to dispatcher-2 after 1.3 s
    Then the last answer is a completed job
    And every promise is kept

    Examples:
      | lost     |
      | killed   |
      | frozen   |
      | replaced |

  @at-most-once @whole-answer
  Scenario Outline: A runner is lost while its worker runs tasks
    When a <kind> job of 8 tasks of 2000 ms is submitted to dispatcher-1
    And 8 tasks have started
    And runner-1 is <lost>
    Then the job is completed at its dispatcher
    And every promise is kept

    Examples:
      | kind      | lost     |
      | stored    | killed   |
      | stored    | replaced |
      | stored    | frozen   |
      | transient | killed   |
      | transient | replaced |

  @at-most-once @whole-answer
  Scenario: A runner is frozen until its lease lapses and goes on
    When a stored job of 11 tasks of 4000 ms is submitted to dispatcher-1
    And 11 tasks have started
    And runner-1 is frozen
    And the lease of worker-1 has lapsed
    And runner-1 goes on
    Then the job is completed at dispatcher-1
    And every promise is kept

  @not-run
  Scenario: Jobs are canceled in a wave while their tasks start and end
    When 12 stored jobs of 4 tasks of 400 ms are submitted and canceled in turn
    Then every canceled job is told so by both dispatchers
    And every promise is kept
