from pytest_bdd import scenarios

scenarios("returning.feature")
