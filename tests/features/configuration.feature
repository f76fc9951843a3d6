Feature: An accepted configuration is in force everywhere and never reverts

  Background:
    Given a system of 3 agents with 2 slots each
    And the configuration of all daemons is watched

  @configuration
  Scenario: Two operators publish different versions at once
    When two operators publish different versions at once
    Then one version is accepted and the other conflicts
    And the accepted version is in force in every daemon
    And every promise is kept

  @configuration
  Scenario: Operators race one another again and again
    When two operators publish different versions at once
    And two operators publish different versions at once
    And two operators publish different versions at once
    Then the accepted version is in force in every daemon
    And every promise is kept

  @configuration
  Scenario: The answer to a publication is lost
    Given the log service loses the answer to the next append
    When an operator publishes a version
    Then the accepted version is in force in every daemon
    And every promise is kept
