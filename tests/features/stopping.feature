Feature: Processes are stopped and replaced while callers go on

  @graceful-stop
  Scenario Outline: A process is asked to stop under load
    Given a system of 2 dispatchers and 3 runners
    And callers that submit jobs all the time
    When 10 jobs are answered
    And <process> is asked to stop
    And <process> has ended well
    And 10 more jobs are answered
    And the callers stop
    Then every job of the callers is completed
    And every promise is kept

    Examples:
      | process      |
      | dispatcher-1 |
      | runner-1     |

  @graceful-stop @own-answer
  Scenario: A transient job ends before its dispatcher does
    Given a system of 2 dispatchers and 3 runners
    When a transient job of 10 tasks of 800 ms is submitted to dispatcher-1
    And 8 tasks have started
    And dispatcher-1 is asked to stop
    And dispatcher-1 has ended well
    Then the last answer is a completed job
    And every promise is kept

  @graceful-stop @at-most-once
  Scenario: Every dispatcher and every runner is replaced in turn
    Given a system of 2 dispatchers and 3 runners
    And callers that submit jobs all the time
    When every process is stopped and started again in turn
    And the callers stop
    Then every job of the callers is completed
    And every promise is kept

  @at-most-once
  Scenario: Every dispatcher and every runner is killed at once
    Given a system of 2 dispatchers and 3 runners
    When a stored job of 6 tasks of 3000 ms is submitted to dispatcher-1
    And 6 tasks have started
    And every process is killed at once and started again
    Then the job is completed at dispatcher-1
    And every promise is kept

  # Guards against a second run of a task whose runner is stopping while its job moves.
  @graceful-stop @at-most-once
  Scenario: A runner with tasks stops, and then the owner of their job
    Given a system of 2 dispatchers and 3 runners
    When a stored job of 6 tasks of 3000 ms is submitted to dispatcher-1
    And 6 tasks have started
    And a runner with tasks is asked to stop
    And 1 seconds pass
    And the owner is asked to stop
    And the owner has ended well
    Then the job is completed at the other dispatcher
    And each task has started once
    And every promise is kept
