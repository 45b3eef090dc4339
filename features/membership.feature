Feature: A cell agrees on its members and who keeps which endpoint

  Scenario Outline: A cell of <count> members forms
    Given a cell of <count> members with 6 endpoints
    When the cell is ready
    Then the cell has exactly one lead
    And each endpoint of the cell has a live keeper
    And no member keeps more than <most> endpoints
    And each shard has an owner and <backups>
    And nothing in the cell had two holders

    Examples:
      | count | most | backups                  |
      | 1     | 6    | no backup                |
      | 3     | 2    | a backup in another zone |
      | 6     | 1    | a backup in another zone |

  Scenario: Members that may not lead follow the one that may
    Given a cell of 3 members with 6 endpoints where only the last may lead
    When the cell is ready
    Then the cell has exactly one lead
    And each endpoint of the cell has a live keeper

  Scenario: A lead that stood still does not blame its members
    Given a cell of 3 members with 6 endpoints
    When the cell is ready
    And the cell's lead has stood still for 60 s and makes its next step
    Then the cell's table still has 3 members

  Scenario Outline: The cell's lead is <fault>
    Given a cell of 4 members with 4 endpoints
    When the cell is ready
    And the cell's lead is <fault>
    Then another member leads the cell with a higher epoch
    And a former lead that is back knows the new one
    And each endpoint of the cell has a live keeper
    And nothing in the cell had two holders

    Examples:
      | fault                             |
      | killed                            |
      | frozen past its lease             |
      | frozen while it writes            |
      | cut off from the platform         |
      | cut off from all members          |
      | drained                           |

  Scenario Outline: A lead's write of its <object> gets no answer
    Given a cell of 3 members with 4 endpoints
    When the cell is ready
    And <count> writes of the lead take effect without an answer
    Then the cell is ready again
    And nothing in the cell had two holders

    Examples:
      | object          | count |
      | next renewal    | 1     |
      | renewals, twice | 2     |
      | renewals, often | 9     |

  Scenario Outline: A member is <silent>, leaves the table and comes back as it was
    Given a cell of 4 members with 6 endpoints
    When the cell is ready
    And a member that does not lead is <silent> until it is out of the table
    Then the cell is ready again
    And nothing in the cell had two holders

    Examples:
      | silent  |
      | cut off |
      | frozen  |

  Scenario: A member restarts and is a new incarnation with nothing remembered
    Given a cell of 3 members with 6 endpoints
    When the cell is ready
    And a member that does not lead restarts
    Then the cell is ready again
    And the endpoints of the restarted member have higher fencing numbers
    And nothing in the cell had two holders

  Scenario Outline: An endpoint leaves, known by <source> while the platform is <platform>
    Given a cell of 5 members with 6 endpoints
    When the cell is ready
    And the platform of the cell is <platform>
    And <source> says that an endpoint leaves
    Then all members know within 3 s that the endpoint leaves

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
    Then all members know within 3 s that the member takes no new work
    And no endpoint is kept by the member any more

  Scenario: An endpoint that left comes back
    Given a cell of 3 members with 6 endpoints
    When the cell is ready
    And any member says that an endpoint leaves
    And all members know within 3 s that the endpoint leaves
    And another member says that the endpoint is back
    Then all members know within 3 s that the endpoint is back

  Scenario: The platform is down and the cell goes on with its last table
    Given a cell of 4 members with 4 endpoints that ignore fencing numbers
    When the cell is ready
    And every endpoint has a keeper with a lease
    And the platform of the cell is down
    Then nobody leads the cell or holds a keeper's lease after a while
    And each endpoint of the cell has a live keeper
    And the table of the cell is the same as before
    And after the platform's return the cell has a lead and keepers with leases
    And nothing in the cell had two holders

  Scenario: The platform is down and then the lead dies
    Given a cell of 4 members with 4 endpoints
    When the cell is ready
    And the platform of the cell is down
    And the cell's lead is killed without replacement
    Then the dead member is the last choice for its endpoints
    And after the platform's return the cell has a lead and keepers with leases
    And nothing in the cell had two holders

  Scenario Outline: The keeper of unfenced endpoints is <fault>
    Given a cell of 4 members with 4 endpoints that ignore fencing numbers
    When the cell is ready
    And every endpoint has a keeper with a lease
    And a keeper that does not lead is <fault>
    Then every endpoint has a keeper with a lease again, by another member
    And nothing in the cell had two holders

    Examples:
      | fault                 |
      | killed                |
      | frozen past its lease |
      | drained               |
