Feature: Processes stop and backend servers leave without harm

  Background:
    Given a system of 4 agents with 2 slots each
    And callers that submit jobs all the time

  @graceful-stop
  Scenario Outline: A daemon is asked to stop under load
    When 40 jobs are answered
    And <name> is asked to stop
    And <name> has ended well
    And 40 more jobs are answered
    Then every answer is complete
    And every promise is kept

    Examples:
      | name    |
      | agent-1 |
      | entry-1 |

  @leaving
  Scenario: A backend server leaves under load
    When 40 jobs are answered
    And server-1 says that it leaves
    And the load goes on past the bound
    Then every answer is complete
    And every promise is kept
