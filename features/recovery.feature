Feature: An ejected engine is readmitted quickly and serves rollouts

  Scenario: Requests that fail after an ejection do not postpone the probe
    Given the health of an engine with 8 slots
    When 3 requests fail, and then 5 more that were in flight
    Then its probe is due 5 s after the ejection

  Scenario Outline: After <failures> failed probes the next one is due within <limit> s
    Given the health of an engine with 8 slots
    When it is ejected and <failures> probes fail
    Then the next probe is due within <limit> s

    Examples:
      | failures | limit |
      | 0        | 5     |
      | 1        | 10    |
      | 10       | 15    |

  Scenario Outline: Reserved slots are freed for rollouts when callers have gone
    Given a reserve for callers of <slots> slots with ratio <ratio>
    When <callers> callers were seen <age> s ago
    Then <reserved> slots are reserved

    Examples:
      | slots | ratio | callers | age  | reserved |
      | 8     | 0.25  | 2       | 1    | 2        |
      | 8     | 0.25  | 6       | 1    | 2        |
      | 8     | 0.25  | 2       | 3600 | 1        |

  Scenario Outline: An engine of 8 slots that recovers with <allowed> serves a rollout
    Given a keeper in front of 1 engine
    And callers have recently used all reserved slots of the engine
    When the engine recovers with <allowed> slots
    Then a rollout is served

    Examples:
      | allowed |
      | 1       |
      | 2       |
      | 3       |
