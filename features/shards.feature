Feature: Each shard has one acting owner and a backup with its records

  Scenario: A confirmed record is at the backup
    Given a cell of 3 members whose 4 shards can act
    When each shard's owner puts 20 records that need the backup
    Then each shard's backup has all confirmed records
    And nothing in the cell had two holders

  Scenario Outline: The owner of shards is <fault>
    Given a cell of 4 members whose 4 shards can act
    When each shard's owner puts 20 records that need the backup
    And the owner of shard 0 is harmed: <fault>
    Then all shards can act again in a later epoch of shard 0
    And each shard's owner has all confirmed records
    And no shard began an epoch without all records
    And nothing in the cell had two holders

    Examples:
      | fault                    |
      | killed                   |
      | drained                  |

  Scenario Outline: The owner of shards is <silent> and comes back
    Given a cell of 4 members whose 4 shards can act
    When each shard's owner puts 20 records that need the backup
    And the owner of shard 0 is <silent> until another has taken over
    Then all shards can act again in a later epoch of shard 0
    And each shard's owner has all confirmed records
    And no shard began an epoch without all records
    And nothing in the cell had two holders

    Examples:
      | silent  |
      | cut off |
      | frozen  |

  Scenario Outline: The backup of shards is <fault>
    Given a cell of 4 members whose 4 shards can act
    When each shard's owner puts 20 records that need the backup
    And the backup of shard 0 is <fault>
    Then all shards can act again in a later epoch of shard 0
    And each shard's backup has all confirmed records
    And no shard began an epoch without all records
    And nothing in the cell had two holders

    Examples:
      | fault   |
      | killed  |
      | drained |

  Scenario: An owner writes while its epochs change
    Given a cell of 4 members whose 4 shards can act
    When records are put all the time while the owner of shard 0 is killed
    Then all shards can act again in a later epoch of shard 0
    And each shard's owner has all confirmed records
    And no shard began an epoch without all records
    And nothing in the cell had two holders

  Scenario: The platform is down and owner and backup go on
    Given a cell of 3 members whose 4 shards can act
    When the platform is down for 4 leases
    Then each shard has acted all the time
    And nothing in the cell had two holders

  Scenario: The owner dies while the platform is down
    Given a cell of 4 members whose 4 shards can act
    When each shard's owner puts 20 records that need the backup
    And the platform is down and the owner of shard 0 is killed
    Then the backup of shard 0 soon acts for jobs but not in exclusive duties
    And a record of shard 0 that needs the backup is refused with a time to come back
    And after the platform's return all shards can act again
    And each shard's owner has all confirmed records
    And no shard began an epoch without all records
    And nothing in the cell had two holders

  Scenario: A backup that went on with jobs gives them back to its owner
    Given a cell of 4 members whose 4 shards can act
    When the platform is down and the owner of shard 0 is silent for 2 leases
    And the backup of shard 0 puts a job record meanwhile
    Then the owner of shard 0 gets the job record when it is back
    And nothing in the cell had two holders

  Scenario: Owner and backup are both gone from the VM list
    Given a cell of 4 members whose 4 shards can act
    When each shard's owner puts 20 records that need the backup
    And owner and backup of shard 0 are both killed
    Then all shards can act again in a later epoch of shard 0
    And the new epoch of shard 0 is marked as begun without all records
    And nothing in the cell had two holders

  Scenario: Owner and backup are both silent but still in the VM list
    Given a cell of 4 members whose 4 shards can act
    When owner and backup of shard 0 are both killed but stay in the VM list
    Then nobody acts for shard 0 and its epoch stays
    And nothing in the cell had two holders

  Scenario: Both of a pair restart at once
    Given a cell of 3 members whose 4 shards can act
    When owner and backup of shard 0 both restart
    Then all shards can act again in a later epoch of shard 0
    And the new epoch of shard 0 is marked as begun without all records
    And nothing in the cell had two holders

  Scenario: A cell of a single VM keeps records without a backup
    Given a cell of 1 members whose 4 shards can act
    When each shard's owner puts 20 records that need the backup
    And the only member restarts
    Then all shards can act again in a later epoch of shard 0
    And the new epoch of shard 0 is marked as begun without all records

  Scenario: The owner drains and its backup announces its leaving after the seal
    Given a cell of 5 members whose 4 shards can act
    When each shard's owner puts 20 records that need the backup
    And the owner of shard 0 drains and the backup too once the epoch is sealed
    Then all shards can act again in a later epoch of shard 0
    And each shard's owner has all confirmed records
    And no shard began an epoch without all records
    And nothing in the cell had two holders

  Scenario: Shards move to members that join
    Given a cell of 2 members whose 6 shards can act
    When each shard's owner puts 20 records that need the backup
    And 1 members join the cell
    Then no member owns more than 2 shards after a while
    And all shards can act again
    And each shard's owner has all confirmed records
    And no shard began an epoch without all records
    And nothing in the cell had two holders

  Scenario: A cell grows from one member to six and shrinks to three
    Given a cell of 1 members whose 8 shards can act
    When each shard's owner puts 20 records that need the backup
    And 5 members join the cell
    Then all shards can act again
    When 3 members drain and leave the cell
    Then all shards can act again
    And each shard's owner has all confirmed records
    And no shard began an epoch without all records
    And nothing in the cell had two holders
