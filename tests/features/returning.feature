Feature: Callers whose connections break come back elsewhere

  # Guards against a lease that is renewed for a run that has to stop, while its job, sent
  # again by a caller whose connection broke, runs elsewhere.
  @at-most-once
  Scenario: Callers leave while workers leave stops unanswered, and come back
    Given a system of 3 dispatchers and 6 runners
    When callers submit 6 transient jobs of 2 tasks of 5000 ms, and these begin
    And every worker has the fault late_stop_share
    And those callers leave, and come back elsewhere
    And those callers are answered
    Then every promise is kept

  # Guards against a run that outlives its dispatcher, or its runner, while its job, sent
  # again by its caller, runs elsewhere.
  @at-most-once @whole-answer
  Scenario Outline: Callers come back while all processes are killed in series
    Given a system of 3 dispatchers and 6 runners
    And callers of long jobs, which come back until they are answered
    And every worker has the fault <fault>
    When 4 jobs are answered
    And <herd> is killed at once, and started again, 2 times, <seconds> s apart
    And the workers are mended
    And the callers stop
    Then every accepted job of the callers ends
    And every promise is kept

    Examples:
      | herd                              | fault           | seconds |
      | every dispatcher                  | none            | 8       |
      | every dispatcher and every runner | late_stop_share | 3       |
