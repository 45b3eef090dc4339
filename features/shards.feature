Feature: Each shard has one acting owner and a backup with its records

  Scenario: Confirmed records are stored at the backup
    Given a cell of 3 members with 4 active shards
    When each shard's owner puts 20 records that need the backup
    Then each shard's backup has all confirmed records
    And no exclusive role in the cell had two holders at once

  Scenario Outline: The owner of shards is <fault>
    Given a cell of 4 members with 4 active shards
    When each shard's owner puts 20 records that need the backup
    And the owner of shard 0 is stopped: <fault>
    Then all shards are active again and shard 0 is in a later epoch
    And each shard's owner has all confirmed records
    And no shard began an epoch without all records
    And no exclusive role in the cell had two holders at once

    Examples:
      | fault                    |
      | killed                   |
      | drained                  |

  Scenario Outline: The owner of shards is <silent> and comes back
    Given a cell of 4 members with 4 active shards
    When each shard's owner puts 20 records that need the backup
    And the owner of shard 0 is <silent> until another member takes over
    Then all shards are active again and shard 0 is in a later epoch
    And each shard's owner has all confirmed records
    And no shard began an epoch without all records
    And no exclusive role in the cell had two holders at once

    Examples:
      | silent  |
      | cut off |
      | frozen  |

  Scenario Outline: The backup of shards is <fault>
    Given a cell of 4 members with 4 active shards
    When each shard's owner puts 20 records that need the backup
    And the backup of shard 0 is <fault>
    Then all shards are active again and shard 0 is in a later epoch
    And each shard's backup has all confirmed records
    And no shard began an epoch without all records
    And no exclusive role in the cell had two holders at once

    Examples:
      | fault   |
      | killed  |
      | drained |

  Scenario: An owner writes while its epochs change
    Given a cell of 4 members with 4 active shards
    When records are put continuously while the owner of shard 0 is killed
    Then all shards are active again and shard 0 is in a later epoch
    And each shard's owner has all confirmed records
    And no shard began an epoch without all records
    And no exclusive role in the cell had two holders at once

  Scenario: Owner and backup continue while the platform is down
    Given a cell of 3 members with 4 active shards
    When the platform is down for 4 leases
    Then each shard was active all the time
    And no exclusive role in the cell had two holders at once

  Scenario: The owner crashes while the platform is down
    Given a cell of 4 members with 4 active shards
    When each shard's owner puts 20 records that need the backup
    And the platform is down and the owner of shard 0 is killed
    Then the backup of shard 0 eventually acts for jobs but not for exclusive duties
    And a record of shard 0 that needs the backup is refused with a retry delay
    And all shards are active again once the platform is back
    And each shard's owner has all confirmed records
    And no shard began an epoch without all records
    And no exclusive role in the cell had two holders at once

  Scenario: An owner gets the job records that its backup wrote meanwhile
    Given a cell of 4 members with 4 active shards
    When the platform is down and the owner of shard 0 is silent for 2 leases
    And the backup of shard 0 puts a job record meanwhile
    Then the owner of shard 0 gets the job record when it is back
    And no exclusive role in the cell had two holders at once

  Scenario: Owner and backup are both gone from the VM list
    Given a cell of 4 members with 4 active shards
    When each shard's owner puts 20 records that need the backup
    And owner and backup of shard 0 are both killed
    Then all shards are active again and shard 0 is in a later epoch
    And the new epoch of shard 0 is marked as begun without all records
    And no exclusive role in the cell had two holders at once

  Scenario: Owner and backup are both silent but still in the VM list
    Given a cell of 4 members with 4 active shards
    When owner and backup of shard 0 are both killed but stay in the VM list
    Then no member acts for shard 0 and its epoch is unchanged
    And no exclusive role in the cell had two holders at once

  Scenario: Owner and backup restart at once
    Given a cell of 3 members with 4 active shards
    When owner and backup of shard 0 both restart
    Then all shards are active again and shard 0 is in a later epoch
    And the new epoch of shard 0 is marked as begun without all records
    And no exclusive role in the cell had two holders at once

  Scenario: A cell of a single VM keeps records without a backup
    Given a cell of 1 members with 4 active shards
    When each shard's owner puts 20 records that need the backup
    And the only member restarts
    Then all shards are active again and shard 0 is in a later epoch
    And the new epoch of shard 0 is marked as begun without all records

  Scenario: The owner drains and its backup drains once the epoch is sealed
    Given a cell of 5 members with 4 active shards
    When each shard's owner puts 20 records that need the backup
    And the owner of shard 0 drains and the backup too once the epoch is sealed
    Then all shards are active again and shard 0 is in a later epoch
    And each shard's owner has all confirmed records
    And no shard began an epoch without all records
    And no exclusive role in the cell had two holders at once

  Scenario: Shards move to members that join
    Given a cell of 2 members with 6 active shards
    When each shard's owner puts 20 records that need the backup
    And 1 members join the cell
    Then eventually no member owns more than 2 shards
    And all shards are active again
    And each shard's owner has all confirmed records
    And no shard began an epoch without all records
    And no exclusive role in the cell had two holders at once

  Scenario: A cell grows from one member to six and shrinks to three
    Given a cell of 1 members with 8 active shards
    When each shard's owner puts 20 records that need the backup
    And 5 members join the cell
    Then all shards are active again
    When 3 members drain and leave the cell
    Then all shards are active again
    And each shard's owner has all confirmed records
    And no shard began an epoch without all records
    And no exclusive role in the cell had two holders at once
