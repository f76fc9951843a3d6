Feature: An accepted configuration is in force everywhere and never reverts

  Background:
    Given a system of 3 agents with 2 slots each
    And the configuration of all daemons is watched

  @configuration
  Scenario: Two operators race one another
    When an operator publishes a version
    And two operators publish different versions made from it at once
    Then one version is accepted and the other conflicts
    And the accepted version is in force in every daemon
    And every promise is kept

  @configuration
  Scenario: Operators race one another again and again
    When an operator publishes a version
    And two operators publish different versions made from it at once
    And two operators publish different versions made from it at once
    And two operators publish different versions made from it at once
    Then one version is accepted and the other conflicts
    And the accepted version is in force in every daemon
    And every promise is kept

  @configuration
  Scenario: The answer to a publication is lost
    Given the log service loses the answer to the next append
    When an operator publishes a version
    Then the accepted version is in force in every daemon
    And every promise is kept

  @configuration
  Scenario: A replaced agent learns the version while the log service is down
    When an operator publishes a version
    Then the accepted version is in force in every daemon
    Given the log service is down
    When agent-1 is replaced
    Then the accepted version is in force in every daemon
    And every promise is kept
