Feature: A cell agrees on its members and the keeper of each endpoint

  Scenario Outline: A cell of <count> members forms
    Given a cell of <count> members with 6 endpoints
    When the cell is ready
    Then the cell has exactly one lead
    And each endpoint of the cell has a live keeper
    And no member keeps more than <most> endpoints
    And each shard has an owner and <backups>
    And no exclusive role in the cell had two holders at once

    Examples:
      | count | most | backups                  |
      | 1     | 6    | no backup                |
      | 3     | 2    | a backup in another zone |
      | 6     | 1    | a backup in another zone |

  Scenario: Members that may not lead follow the only candidate
    Given a cell of 3 members with 6 endpoints where only the last may lead
    When the cell is ready
    Then the cell has exactly one lead
    And each endpoint of the cell has a live keeper

  Scenario: A lead that was paused does not remove its members
    Given a cell of 3 members with 6 endpoints
    When the cell is ready
    And the cell's lead was paused for 60 s and runs its next step
    Then the cell's table still has 3 members

  Scenario Outline: The cell's lead is <fault>
    Given a cell of 4 members with 4 endpoints
    When the cell is ready
    And the cell's lead is <fault>
    Then another member leads the cell with a higher epoch
    And a former lead that still runs follows the new one
    And each endpoint of the cell has a live keeper
    And no exclusive role in the cell had two holders at once

    Examples:
      | fault                             |
      | killed                            |
      | frozen past its lease             |
      | frozen while it writes            |
      | cut off from the platform         |
      | cut off from all members          |
      | drained                           |

  Scenario Outline: A lead gets no answer to its <object>
    Given a cell of 3 members with 4 endpoints
    When the cell is ready
    And <count> writes of the lead take effect without an answer
    Then the cell is ready again
    And no exclusive role in the cell had two holders at once

    Examples:
      | object          | count |
      | next renewal    | 1     |
      | renewals, twice | 2     |
      | renewals, often | 9     |

  Scenario Outline: A member that is <silent> rejoins in the same incarnation
    Given a cell of 4 members with 6 endpoints
    When the cell is ready
    And a member other than the lead is <silent> until it is removed from the table
    Then the cell is ready again
    And no exclusive role in the cell had two holders at once

    Examples:
      | silent  |
      | cut off |
      | frozen  |

  Scenario: A restarted member is a new incarnation without state
    Given a cell of 3 members with 6 endpoints
    When the cell is ready
    And a member other than the lead restarts
    Then the cell is ready again
    And the endpoints of the restarted member have higher fencing numbers
    And no exclusive role in the cell had two holders at once

  Scenario Outline: <source> reports a leaving endpoint while the platform is <platform>
    Given a cell of 5 members with 6 endpoints
    When the cell is ready
    And the platform of the cell is <platform>
    And <source> reports that an endpoint is leaving
    Then all members list the endpoint as leaving within 3 s

    Examples:
      | source               | platform |
      | any member           | up       |
      | any member           | down     |
      | a member cut off     | down     |
      | the VM list          | up       |

  Scenario: The VM list shows a member as leaving
    Given a cell of 4 members with 8 endpoints
    When the cell is ready
    And the VM list shows a member as leaving
    Then all members exclude the member from new work within 3 s
    And the member keeps no endpoint any more

  Scenario: An endpoint that was leaving returns
    Given a cell of 3 members with 6 endpoints
    When the cell is ready
    And any member reports that an endpoint is leaving
    And all members list the endpoint as leaving within 3 s
    And another member reports that the endpoint is back
    Then all members list the endpoint as available within 3 s

  Scenario: A cell continues with its last table while the platform is down
    Given a cell of 4 members with 4 endpoints that ignore fencing numbers
    When the cell is ready
    And every endpoint has a keeper with a lease
    And the platform of the cell is down
    Then eventually no member leads the cell or holds a keeper's lease
    And each endpoint of the cell has a live keeper
    And the table of the cell is unchanged
    And the cell has a lead and keepers with leases once the platform is back
    And no exclusive role in the cell had two holders at once

  Scenario: The lead crashes while the platform is down
    Given a cell of 4 members with 4 endpoints
    When the cell is ready
    And the platform of the cell is down
    And the cell's lead is killed without replacement
    Then the crashed member is the last choice of keeper for its endpoints
    And the cell has a lead and keepers with leases once the platform is back
    And no exclusive role in the cell had two holders at once

  Scenario Outline: The keeper of unfenced endpoints is <fault>
    Given a cell of 4 members with 4 endpoints that ignore fencing numbers
    When the cell is ready
    And every endpoint has a keeper with a lease
    And a keeper other than the lead is <fault>
    Then every endpoint has a keeper with a lease again in a newer table
    And no exclusive role in the cell had two holders at once

    Examples:
      | fault                 |
      | killed                |
      | frozen past its lease |
      | drained               |
