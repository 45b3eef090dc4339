Feature: The demonstration that a newcomer runs first

  Scenario: A good run prints its results and no errors
    When the demonstration is run
    Then it ends with code 0, and all of its promises hold
    And its standard error is empty
