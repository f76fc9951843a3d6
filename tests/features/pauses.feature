Feature: A process that stood still does nothing for those who have gone on without it

  # Guards against a second run of a job whose caller left while its dispatcher stood
  # still, and came back elsewhere.
  @at-most-once
  Scenario: Callers leave a frozen dispatcher and come back elsewhere
    Given a system of 3 dispatchers and 6 runners
    And callers that submit jobs all the time
    When 10 jobs are answered
    And each dispatcher is frozen 2 times, while callers of 8 jobs leave it for the others
    And the callers stop
    Then every answer is a completed job
    And every promise is kept
