Feature: A keyed non-idempotent call runs at most once
  The owner of the key records the intent at its backup before it sends the call.

  Scenario Outline: A repeated keyed call after <fault> gives <second>
    Given a key owner and a service
    When a keyed call is made under the fault "<fault>"
    Then its outcome is "<first>"
    When the call is repeated <where>
    Then its outcome is "<second>"
    And the service ran it <runs> times

    Examples:
      | fault                       | first                | where            | second               | runs |
      | none                        | done                 | at the owner     | done                 | 1    |
      | none                        | done                 | at the successor | done                 | 1    |
      | answer lost                 | call_outcome_unknown | at the owner     | call_outcome_unknown | 1    |
      | answer lost                 | call_outcome_unknown | at the successor | call_outcome_unknown | 1    |
      | refused before running      | endpoint_refused     | at the owner     | done                 | 1    |
      | refused before running      | endpoint_refused     | at the successor | done                 | 1    |
      | backup unreachable          | owner_unavailable    | at the owner     | done                 | 1    |
      | backup unreachable          | owner_unavailable    | at the successor | done                 | 1    |
      | not the owner               | owner_unavailable    | at the owner     | done                 | 1    |
      | owner dies after sending    | crash                | at the successor | call_outcome_unknown | 1    |
      | backup lost before the end  | done                 | at the successor | call_outcome_unknown | 1    |

  Scenario Outline: A key without a record in a fresh epoch gives <outcome>
    Given a key owner and a service
    And records of earlier epochs may be lost
    When a keyed call is made <claim>
    Then its outcome is "<outcome>"
    And the service ran it <runs> times

    Examples:
      | claim                            | outcome              | runs |
      | without a claim                  | call_outcome_unknown | 0    |
      | claiming to be the first attempt | done                 | 1    |

  Scenario: The same key with different content is a conflict
    Given a key owner and a service
    When a keyed call is made under the fault "none"
    And the call is repeated with different content
    Then its outcome is "conflict"
    And the service ran it 1 times

  Scenario: A repeat while the call runs is refused as in progress
    Given a key owner and a service
    When a keyed call is repeated while it runs
    Then its outcome is "call_in_progress"
    And the service ran it 1 times
