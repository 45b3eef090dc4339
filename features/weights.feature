Feature: Rollout of new weight versions while enough engines keep serving

  Scenario: An announced version reaches all engines in waves
    Given a lead, 2 keepers and 6 engines with version 1
    When version 2 is announced
    Then all engines reach version 2
    And at most 2 engines were switching at once
    And at most 2 engines were prefetching at once
    And each engine had prefetched before it switched

  Scenario Outline: A failed or lost order is retried until the read-back confirms it
    Given a lead, 2 keepers and 3 engines with version 1
    And engine e1 <fault>
    When version 2 is announced
    Then all engines reach version 2

    Examples:
      | fault                                 |
      | fails its next 2 orders               |
      | carries orders out but answers late   |

  Scenario Outline: Only the current keeper may send orders
    Given a lead, 2 keepers and 1 engines with version 1
    And the engines <fencing> fencing numbers
    And <state>
    When the keeper is asked to order version 2
    Then the order returns <result> and the engine has version <version>

    Examples:
      | fencing | state                                        | result            | version |
      | check   | the keeper has the newest number             | done              | 2       |
      | check   | the engine has seen a newer number           | conflict          | 1       |
      | check   | the VM is not the engine's keeper            | conflict          | 1       |
      | ignore  | the keeper holds its lease                   | done              | 2       |
      | ignore  | the keeper is not sure of its lease          | owner_unavailable | 1       |

  Scenario Outline: Versions only increase and are announced by teams with the model
    Given a lead, 2 keepers and 1 engines with version 1
    And version 5 has been announced
    When <sender> announces version <version> over HTTP
    Then the announcement is answered with <status>

    Examples:
      | sender                    | version | status |
      | the model's team          | 6       | 200    |
      | the model's team          | 5       | 200    |
      | the model's team          | 4       | 409    |
      | the model's team          | 0       | 400    |
      | a team without the model  | 6       | 403    |
      | a stranger                | 6       | 401    |

  Scenario: An announcement survives a platform outage and a change of lead
    Given a lead, 2 keepers and 3 engines with version 1
    And the platform goes down
    When version 2 is announced
    Then all engines reach version 2
    And the rollout is recorded only once the platform is back
    And a new lead resumes from the record

  Scenario: A new lead completes a rollout that the former lead started
    Given a lead, 2 keepers and 4 engines with version 1
    And each order takes 200 ms
    When version 2 is announced and the lead is lost during the rollout
    Then all engines reach version 2

  Scenario: An engine that restarts with old weights is updated again
    Given a lead, 2 keepers and 2 engines with version 1
    When version 2 is announced
    Then all engines reach version 2
    And engine e1, reset to version 1, reaches version 2 again

  Scenario Outline: The next orders respect the wave and the prefetch concurrency
    When the replicas are <replicas>, at most <wave> may switch and <rate> may prefetch
    Then the next orders are <orders>

    Examples:
      | replicas                       | wave | rate | orders             |
      | old old old                    | 1    | 2    | prefetch prefetch  |
      | ready ready ready              | 1    | 2    | activate           |
      | ready ready new                | 2    | 2    | activate activate  |
      | ready switching ready          | 1    | 2    | nothing            |
      | ready ready-ejected old        | 1    | 1    | activate prefetch  |
      | fetching old old               | 1    | 2    | prefetch           |
      | new new new                    | 1    | 2    | nothing            |
      | failed ready old               | 1    | 1    | activate prefetch  |
      | new-ejected new-ejected ready  | 1    | 1    | activate           |
      | new-ejected switching ready    | 1    | 1    | nothing            |
