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
