Feature: A backend server leaves, falls silent, or answers wrongly

  @leaving
  Scenario Outline: A backend server leaves
    Given a system of 3 agents with 2 slots each
    And the log service fails: <failure>
    And callers that repeat by id through the other entry
    When server-1 has started tasks
    And server-1 says that it leaves
    And the load goes on past the bound
    And the callers have their answers
    Then every caller has a complete answer
    And every promise is kept

    Examples:
      | failure |
      | none    |
      | down    |

  @leaving @whole-answer
  Scenario: The announcements of a backend server stop
    Given a system of 3 agents whose backend servers announce themselves for 1500 ms
    When server-1 falls silent
    And 10 jobs of 6 tasks of 50 ms are submitted through both entries
    And every job is answered
    And server-1 speaks again
    And the backend servers are idle
    Then every job is complete
    And every promise is kept

  @whole-answer
  Scenario: Tasks take twice as long as declared
    Given a system of 3 agents with 2 slots each
    When a job of 8 tasks of 600 ms, declared as 300 ms, is submitted through entry-1
    Then every job is complete
    And every promise is kept

  @whole-answer @non-idempotent
  Scenario Outline: A backend server's answer is not what it declares
    Given a system of 3 agents with 2 slots each
    And a backend server in place of each, that answers <answer>
    When a job of 1 tasks of 50 ms is submitted through entry-1
    And every job is answered
    Then every job is of unknown outcome
    And each task reached a backend server once

    Examples:
      | answer                           |
      | half of the declared length      |
      | a length that cuts its JSON      |
      | more than an agent takes         |
      | by closing before it             |
      | late, after its lease has lapsed |

  @at-most-once @non-idempotent
  Scenario: A backend server closes the connection in place of an answer
    Given a system of 3 agents with 2 slots each
    And the backend servers close their next connection in place of an answer
    When a job of 1 tasks of 100 ms is submitted through entry-1
    And every job is answered
    And the backend servers are idle
    Then every job is of unknown outcome
    And every promise is kept

  @at-most-once @whole-answer
  Scenario: A lease lapses while its agent is frozen
    Given a system of 3 agents with 2 slots each
    When a job of 6 tasks of 5000 ms is submitted through entry-1
    And 6 tasks have started
    And an agent that is not the coordinator is frozen until a lease has lapsed
    And every job is answered
    And the backend servers are idle
    Then every job is of unknown outcome
    And every promise is kept
