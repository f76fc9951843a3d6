Feature: The log service is down, slow, or forgets, and jobs and configuration hold

  Background:
    Given a system of 3 agents with 2 slots each
    And the configuration of all daemons is watched

  @whole-answer @configuration
  Scenario Outline: Jobs go on while the log service fails, and operators hear the truth
    Given an operator publishes a version through entry-1
    And the log service fails: <failure>
    When a job of 6 tasks of 200 ms is submitted through entry-1
    And a job of 6 tasks of 200 ms is submitted through entry-2
    And an operator drains a worker through entry-1
    And an operator publishes a version through entry-2
    And a job of 6 tasks of 200 ms is submitted through entry-1
    Then every job is complete
    And the last 2 commands were not accepted, or are of unknown outcome
    And the log service is back
    And a version published through entry-2 is accepted again
    And what operators were told is true
    And every promise is kept

    Examples:
      | failure |
      | down    |
      | frozen  |

  @whole-answer @configuration
  Scenario Outline: A daemon that starts in an outage serves under the version in force
    Given an operator publishes a version through entry-1
    And the version in force is shown by every daemon
    And the log service fails: down
    When <name> is replaced
    Then the version in force is shown by every daemon
    And jobs through entry-1 are complete until <worker> has run some
    And the log service is back
    And every promise is kept

    Examples:
      | name    | worker   |
      | entry-1 | server-1 |
      | agent-1 | server-1 |

  @graceful-stop @own-answer
  Scenario: An id is repeated after its coordinator left in an outage
    Given the log service fails: down
    When a job of 2 tasks of 50 ms is submitted through entry-1
    And every job is answered
    And the job's coordinator is replaced
    And the same id is submitted through entry-2
    Then every job is complete
    And every promise is kept

  @configuration
  Scenario: The answer to the append of a version is lost
    Given the log service loses the answer to the next append
    When an operator publishes a version through entry-1
    Then the last command is accepted
    And what operators were told is true
    And every promise is kept

  @configuration
  Scenario Outline: Appends are slow
    Given the log service answers after <delay> ms
    When an operator publishes a version through entry-1
    And the log service is back
    And an operator drains a worker through entry-2
    Then the last command is accepted
    And what operators were told is true
    And every promise is kept

    Examples:
      | delay |
      | 1500  |
      | 7000  |
