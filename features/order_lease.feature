Feature: When the right to give orders passes on

  Scenario Outline: A successor waits from the last renewal that it has heard of
    Given another daemon holds the order lease, orders apart 3 s
    When its version is heard of <heard> s before the first look, <renewed> since
    Then the lease is taken <wait> s after the first look

    Examples:
      | heard | renewed     | wait |
      | 0     | not renewed | 4.9  |
      | 1     | not renewed | 3.9  |
      | 6     | not renewed | 0    |
      | 1     | renewed     | 4.9  |
