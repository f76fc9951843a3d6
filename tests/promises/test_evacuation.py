from pytest_bdd import scenarios

scenarios("evacuation.feature")
