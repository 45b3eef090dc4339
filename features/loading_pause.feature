Feature: A replica that fails in a load is noticed as soon as any other

  Scenario Outline: How long a run may be silent while its replica loads
    Given <count> gaps of <gap_s> s between events were seen in loads
    Then a run is given up after <loading_s> s of silence in a load, else 1.5 s

    Examples:
      | count | gap_s | loading_s |
      | 0     | 0.05  | 3.5       |
      | 99    | 0.05  | 3.5       |
      | 100   | 0.05  | 1.5       |
      | 100   | 0.9   | 3.5       |
