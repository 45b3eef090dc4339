Feature: The model checker reports correct verdicts

  Scenario Outline: A property holds only if all reachable states were searched
    When a counter up to <top> with bound <bound> is checked within <states> states
    Then its property <verdict> and progress <progress>

    Examples:
      | top | bound | states | verdict | progress |
      | 5   | 5     | 100    | holds   | holds    |
      | 5   | 4     | 100    | fails   | holds    |
      | 50  | 60    | 20     | fails   | holds    |
      | 250 | 300   | 20     | fails   | holds    |

  Scenario Outline: A mutant is refuted only by a counterexample
    When the counter lacks its guard <guard>
    Then the mutant is <verdict> after <steps> steps

    Examples:
      | guard         | verdict | steps |
      | stop at top   | refuted | 6     |
      | without force | alive   | 0     |
