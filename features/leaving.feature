Feature: Replicas that announce in their answers that they leave

  Scenario: Callers' requests go to other replicas from then on
    Given a platform with 2 plain replicas and 1 daemons
    When replica plain-1 announces that it leaves
    Then 12 lookups at edge-1 are all answered with 200
    And at most 1 request reached replica plain-1

  Scenario: The only replica serves on for a part of the drain period
    Given a platform with 1 plain replicas and 1 daemons
    When replica plain-1 announces that it leaves
    Then 3 lookups at edge-1 are all answered with 200
    When 1200 ms pass
    And lookup "r1" is sent to edge-1
    Then "r1" is answered with 503 within 400 ms and a Retry-After
    And "r1" reached the replicas 0 times

  Scenario: Items go to other engines from then on
    Given a platform with 2 engines and 2 daemons
    When replica engine-1 announces that it leaves
    And job "j1" with 3 groups of 4 is submitted at edge-1
    Then job "j1" completes at edge-2
    And at most 4 request reached replica engine-1
    When job "j2" with 3 groups of 4 is submitted at edge-1
    Then job "j2" completes at edge-2
    And at most 4 request reached replica engine-1

  Scenario Outline: A leaving replica is remembered by incarnation
    Given a fleet with replicas a and b of incarnation 1 and a drain period of 2 s
    When these events follow: <events>
    Then the replicas that may get new requests are <serving>

    Examples:
      | events                                                | serving |
      | none                                       | a,b     |
      | a announces                                           | b       |
      | a announces, a is listed again                        | b       |
      | a announces, a is removed, a is listed again          | b       |
      | a announces, a starts again                           | a,b     |
      | a announces, a is removed, a starts again             | a,b     |
      | a announces, b is removed                             | a       |
      | a announces, b announces                              | a,b     |
      | a announces, b announces, half the drain period passes | none   |
      | a announces, b is removed, half the drain period passes | none  |
      | a announces, half the drain period passes             | b       |

  Scenario Outline: An entry that is removed after an outage is kept for a bounded time
    Given a fleet with replica a, whose store returned <returned> ms ago
    Then <pause> ms after its entry is removed, a may get new requests: <serving>

    Examples:
      | returned | pause | serving |
      | 0        | 1800  | yes     |
      | 0        | 2400  | no      |
      | 1200     | 600   | yes     |
      | 1200     | 1300  | no      |
      | 2300     | 0     | no      |
      | never    | 0     | no      |
