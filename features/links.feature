Feature: Links between daemons of different releases

  Scenario: A message of a newer release is refused and the link goes on
    Given two daemons with a link
    When one sends a message that the other does not know
    Then it gets invalid_request with outcome not_run
    And the same link still carries known messages

  Scenario: A message with a field of a newer release is understood
    Given two daemons with a link
    When one sends a known message with a further field
    Then it is answered
