Feature: Every process is replaced under load, jobs are cancelled, and faults meet

  @graceful-stop @at-most-once @own-answer
  Scenario: Every agent and every entry is replaced, one after the other
    Given a system of 4 agents with 2 slots each
    And callers that repeat by id through the other entry
    When every agent is replaced in turn
    And every entry is replaced in turn
    And the callers have their answers
    Then every caller has a complete answer
    And every promise is kept

  @graceful-stop @own-answer
  Scenario: An id is repeated after its coordinator left
    Given a system of 3 agents with 2 slots each
    When a job of 2 tasks of 50 ms is submitted through entry-1
    And every job is answered
    And the job's coordinator is replaced
    And the same id is submitted through entry-2
    Then every job is complete
    And every promise is kept

  @graceful-stop @own-answer
  Scenario: An id is repeated after every agent was replaced
    Given a system of 3 agents with 2 slots each
    When a job of 2 tasks of 50 ms is submitted through entry-1
    And every job is answered
    And every agent is replaced in turn, the job's coordinator first
    And the same id is submitted through entry-2
    Then every job is complete
    And every promise is kept

  @not-run @whole-answer
  Scenario Outline: Cancellations race starts and finishes
    Given a system of 3 agents with 2 slots each
    When 24 jobs are submitted and cancelled in a wave of seed <seed>
    And every job is answered
    And the backend servers are idle
    Then "cancelled, not run" was said only where nothing started
    And every promise is kept

    Examples:
      | seed |
      | 1    |
      | 2    |

  @at-most-once @whole-answer @not-run
  Scenario Outline: Two faults come at once
    Given a system of 4 agents with 2 slots each, with proxies before the agents
    And callers that repeat by id through the other entry
    When two faults of seed <seed> come at once
    And the faults are mended
    And the callers have their answers
    And the backend servers are idle
    Then every promise is kept

    Examples:
      | seed |
      | 1    |
      | 2    |
      | 3    |
      | 4    |
