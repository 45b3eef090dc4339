Feature: Links between daemons of different releases

  Scenario: A message type of a newer release is refused and the link stays open
    Given two daemons with a link
    When one sends a message type that the other does not know
    Then the sender receives invalid_request with outcome not_run
    And the same link still carries known messages

  Scenario: A field of a newer release is ignored
    Given two daemons with a link
    When one sends a known message with an additional field
    Then the message is decoded without the additional field
