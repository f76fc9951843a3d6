from pytest_bdd import scenarios

scenarios("pauses.feature")
