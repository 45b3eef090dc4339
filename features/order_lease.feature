Feature: Takeover of the order lease

  Scenario Outline: A successor waits from the last renewal reported to it
    Given another daemon holds the order lease, with orders at least 3 s apart
    When its version is reported <heard> s before the first read, <renewed> since
    Then the lease is acquired <wait> s after the first read

    Examples:
      | heard | renewed     | wait |
      | 0     | not renewed | 4.9  |
      | 1     | not renewed | 3.9  |
      | 6     | not renewed | 0    |
      | 1     | renewed     | 4.9  |
