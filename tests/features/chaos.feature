Feature: Promises hold under load while faults of all kinds overlap

  @at-most-once @whole-answer @own-answer @not-run @non-idempotent
  Scenario Outline: Overlapping faults of all kinds under load
    Given a system of 4 agents with 4 slots each, with proxies before the agents
    And callers that submit jobs all the time
    When 6 faults hit each half of the agents with the seed <seed>
    And the backend servers are idle
    Then every promise is kept

    Examples:
      | seed |
      | 1    |
      | 2    |
