Feature: Operators race one another, repeat themselves, and outlast the log's retention

  @configuration
  Scenario: Two versions are made from one base at once
    Given a system of 3 agents with 2 slots each
    And the configuration of all daemons is watched
    When two operators publish versions from one base at once
    And two operators publish versions from one base at once
    And two operators publish versions from one base at once
    Then of each two one is accepted and the other conflicts
    And what operators were told is true
    And every promise is kept

  @configuration
  Scenario: A drain races a new version
    Given a system of 3 agents with 2 slots each
    And the configuration of all daemons is watched
    When a drain and a version race
    And a drain and a version race
    And a drain and a version race
    Then every drain is accepted
    And what operators were told is true
    And every promise is kept

  @configuration
  Scenario: A command is repeated after its answer was lost
    Given a system of 3 agents with 2 slots each
    And the configuration of all daemons is watched
    When an operator loses the answer to a version, and repeats it through entry-2
    And an operator loses the answer to a drain, and repeats it through entry-2
    Then each of the commands took effect once
    And what operators were told is true
    And every promise is kept

  @configuration
  Scenario: The log service forgets the record of the version in force
    Given a system of 3 agents whose log service keeps records for 6000 ms
    And the configuration of all daemons is watched
    And an operator publishes a version through entry-1
    When the record of the version has expired
    And agent-1 is replaced
    And entry-1 is replaced
    Then the version in force is shown by every daemon
    And every entry shows the version's document
    And every promise is kept

  @configuration
  Scenario: The log service is down for longer than it keeps records
    Given a system of 3 agents whose log service keeps records for 6000 ms
    And the configuration of all daemons is watched
    And an operator publishes a version through entry-1
    And the version in force is shown by every daemon
    And the log service fails: down
    When the record of the version has expired in the outage
    And the log service is back
    And agent-1 is replaced
    Then the version in force is shown by every daemon
    And every entry shows the version's document
    And an operator publishes a version through entry-2
    And the last command is accepted
    And the version in force is shown by every daemon
    And every promise is kept
