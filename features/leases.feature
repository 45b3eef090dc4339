Feature: A lease on a platform object has at most one holder that trusts it

  Background:
    Given leases of 4 s with a margin of 0.5 s on one platform object

  Scenario Outline: A holder counts its lease from when it sent the renewal
    When A takes the lease
    And A renews it in a call that takes <call_s> s
    And <later_s> s pass
    Then A <trusts> its lease

    Examples:
      | call_s | later_s | trusts           |
      | 0.0    | 3.4     | trusts           |
      | 0.0    | 3.6     | no longer trusts |
      | 2.0    | 1.4     | trusts           |
      | 2.0    | 1.6     | no longer trusts |
      | 5.0    | 0.0     | no longer trusts |

  Scenario Outline: Another VM claims a lease that it has seen unchanged for <seen_s> s
    When A takes the lease
    And B sees the lease
    And <seen_s> s pass
    And B tries to take the lease
    Then B has <result> it and A <trusts> its lease

    Examples:
      | seen_s | result    | trusts           |
      | 1.0    | not taken | trusts           |
      | 3.9    | not taken | no longer trusts |
      | 4.4    | not taken | no longer trusts |
      | 4.6    | taken     | no longer trusts |

  Scenario: A renewed lease cannot be claimed
    When A takes the lease
    And B sees the lease, 20 times every 2 s, and A renews it in between
    And B tries to take the lease
    Then B has not taken it and A trusts its lease

  Scenario Outline: A renewal's answer is lost and its effect is <effect>
    When A takes the lease
    And 2 s pass
    And A renews it without an answer, <effect>
    And <later_s> s pass
    Then A <trusts> its lease

    Examples:
      | effect                        | later_s | trusts           |
      | in force                      | 3.0     | trusts           |
      | not in force                  | 1.0     | trusts           |
      | not in force                  | 1.6     | no longer trusts |
      | in force but cannot be read   | 1.0     | trusts           |
      | in force but cannot be read   | 1.6     | no longer trusts |

  Scenario: A holder that was suspended learns at its renewal that another VM took the lease
    When A takes the lease
    And B sees the lease
    And 5 s pass
    And B tries to take the lease
    And A renews it in a call that takes 0 s
    Then B has taken it and A no longer trusts its lease
    And A does not hold it and knows epoch 2

  Scenario: Two candidates claim an expired lease at once
    When A takes the lease
    And B sees the lease
    And C sees the lease
    And 5 s pass
    And B and C try to take the lease at once
    Then exactly one of B and C has taken it

  Scenario: A claim whose answer is lost is confirmed by reading back
    When B claims the lease and its answer is lost
    Then B has taken it with epoch 1

  Scenario: A released lease can be taken at once
    When A takes the lease
    And A releases the lease
    And B tries to take the lease
    Then B has taken it and A no longer trusts its lease
