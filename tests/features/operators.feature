Feature: Operators ask, cancel and drain through any dispatcher

  Background:
    Given a system of 2 dispatchers and 3 runners

  Scenario: A drained worker gets no new work until the drain is lifted
    When an operator runs "drain worker i-worker-1" at dispatcher-1
    And a transient job of 30 tasks of 50 ms is submitted to dispatcher-2
    Then the last answer is a completed job
    And worker-1 has started nothing since the drain
    When an operator runs "undrain worker i-worker-1" at dispatcher-2
    And a transient job of 30 tasks of 50 ms is submitted to dispatcher-1
    Then worker-1 has started tasks
    And every promise is kept

  Scenario: A drain outlives the dispatchers
    When an operator runs "drain data-centre dc-2" at dispatcher-1
    And dispatcher-1 is replaced
    And dispatcher-2 is replaced
    And the dispatchers are ready
    Then "show workers where drained = true" has 1 row at dispatcher-2

  @not-run
  Scenario: A job is seen, explained and canceled through the other dispatcher
    When a stored job of 40 tasks of 1000 ms is submitted to dispatcher-1
    And 4 tasks have started
    Then the job is running at dispatcher-1
    And "show jobs where state = running" has 1 row at dispatcher-1
    And "show jobs where state = running" has 1 row at dispatcher-2
    And "show tasks where state = placed" has rows at dispatcher-2
    And why the job waits is told alike by both dispatchers
    When an operator cancels the job at dispatcher-2
    Then the job is canceled at dispatcher-1
    And every promise is kept

  Scenario: A dispatcher that does not answer is named
    When dispatcher-2 is frozen
    Then "show jobs" at dispatcher-1 names a silent dispatcher
