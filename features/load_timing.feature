Feature: Loads of a named version do not delay the first items of the next step

  Scenario Outline: A replica runs items before it loads if its weights allow that
    Given version <named> of a model was named <age_s> s ago
    And earlier jobs allowed a lag of <lag> versions
    When <waiting> items wait that allow version <oldest> and newer
    Then the load on a replica with version <replica> is <outcome>

    Examples:
      | named | age_s | lag | waiting | oldest | replica | outcome   |
      | 5     | 0.1   | 1   | 0       | 0      | 4       | postponed |
      | 5     | 0.1   | 1   | 0       | 0      | 3       | started   |
      | 5     | 0.1   | 0   | 0       | 0      | 4       | started   |
      | 5     | 0.6   | 1   | 0       | 0      | 4       | started   |
      | 5     | 0.6   | 1   | 9       | 4      | 4       | postponed |
      | 5     | 0.6   | 1   | 9       | 4      | 3       | started   |
      | 5     | 0.6   | 1   | 9       | 5      | 4       | started   |
      | 5     | 1.6   | 1   | 9       | 4      | 4       | started   |

  Scenario Outline: A part of a model's replicas keeps running its items
    When a model has <replicas> replicas
    Then at most <loads> of them load at the same time

    Examples:
      | replicas | loads |
      | 1        | 1     |
      | 2        | 1     |
      | 5        | 3     |
      | 11       | 6     |

  Scenario Outline: The scheduler orders loads only once the next step's items run
    Given 6 replicas with version 1 and a lease on orders
    And the newest job allows version 1
    When version 2 is named and <waiting> items wait for <duration_s> s
    Then <orders> replicas are ordered to load <limit_s> s after the naming

    Examples:
      | waiting | duration_s | orders | limit_s |
      | 6       | 0.9        | 0      | 0.8     |
      | 6       | 0.9        | 2      | 1.3     |
      | 6       | 9.0        | 2      | 1.9     |

  Scenario Outline: Loads that slow each other down are ordered a few at a time
    Given a fleet of 45 replicas whose loads take 0.9 s up to <knee> at a time
    When <loads> loads are ordered, as many at a time as the limit allows
    Then at the end at most <limit> load at a time, and at least <least>

    Examples:
      | knee | loads | limit | least |
      | 45   | 400   | 18    | 18    |
      | 9    | 100   | 13    | 6     |
      | 9    | 400   | 13    | 6     |
