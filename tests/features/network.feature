Feature: Connections go silent and lose answers

  Background:
    Given a system of 4 agents with 2 slots each, with proxies before the agents

  @whole-answer @at-most-once
  Scenario: Connections freeze for good between jobs
    When a job of 8 tasks of 100 ms is submitted through entry-1
    And every caller is answered
    And the present connections to the agents freeze
    And a job of 8 tasks of 100 ms is submitted through entry-1
    Then every answer is complete
    And every promise is kept

  @whole-answer @at-most-once
  Scenario: Connections freeze for good while tasks run
    When a job of 8 tasks of 1000 ms is submitted through entry-1
    And 8 tasks have started
    And the present connections to the agents freeze
    Then every answer is complete
    And every promise is kept

  @whole-answer @at-most-once
  Scenario Outline: The proxies disturb the start of a job
    Given the proxies have the fault <fault>
    When a job of 8 tasks of 300 ms is submitted through entry-1
    And every caller is answered
    Then every promise is kept

    Examples:
      | fault              |
      | lose_answers       |
      | delay_to_client_ms |
      | delay_to_server_ms |

  @whole-answer @at-most-once @not-run
  Scenario Outline: One direction is lost and comes back
    Given the proxies have the fault <fault>
    When a job of 8 tasks of 300 ms is submitted through entry-1
    And every caller is answered
    And the proxies are mended
    And the same id is submitted through entry-2
    And the backend servers are idle
    Then every promise is kept

    Examples:
      | fault          |
      | drop_to_client |
      | drop_to_server |
      | cut            |
