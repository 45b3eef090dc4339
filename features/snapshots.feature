Feature: Snapshots are checked, bounded, and never trusted beyond what they can tell

  Scenario Outline: The newest snapshot file is <damage>
    Given a snapshot folder with 3 snapshots
    When the newest snapshot file is <damage>
    Then the snapshot read back is number <read>
    And <aside> snapshot files are set aside

    Examples:
      | damage              | read | aside |
      | whole               | 3    | 0     |
      | empty               | 2    | 1     |
      | cut off in the head | 2    | 1     |
      | cut off in the body | 2    | 1     |
      | flipped in one bit  | 2    | 1     |
      | of another version  | 2    | 1     |
      | of another VM       | 2    | 1     |
      | unfinished          | 2    | 0     |
      | noise               | 2    | 1     |

  Scenario: All snapshot files are corrupted
    Given a snapshot folder with 3 snapshots
    When all snapshot files are flipped in one bit
    Then no snapshot is read back

  Scenario: Old snapshots are removed
    Given a snapshot folder with 12 snapshots
    Then the folder has 3 snapshot files, the newest with number 12

  Scenario Outline: A single VM with a data folder <ends> and starts again
    Given a single VM with a data folder whose shards can act
    When it writes a call record and a job record, and a snapshot
    And it changes the call record after the snapshot
    And the VM <ends> and starts again
    Then its call record is <call>, its job record is there and the epoch is <epoch>

    Examples:
      | ends    | call      | epoch     |
      | drains  | the last  | whole     |
      | crashes | not there | not whole |

  Scenario: The disk refuses snapshots and the shards go on
    Given a single VM with a data folder whose shards can act
    When the disk refuses to write and a snapshot is due
    Then the shards of the VM still act
