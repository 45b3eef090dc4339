Feature: Snapshots are validated, limited in number and restored only as far as is safe

  Scenario Outline: The newest snapshot file is <damage>
    Given a snapshot folder with 3 snapshots
    When the newest snapshot file is <damage>
    Then the snapshot read back is number <read>
    And <aside> snapshot files are rejected

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
    Given a single VM with a data folder and active shards
    When the VM writes a call record, a job record and a snapshot
    And the VM changes the call record after the snapshot
    And the VM <ends> and starts again
    Then the call record is <call>, the job record is restored and the epoch is <epoch>

    Examples:
      | ends    | call      | epoch     |
      | drains  | the last  | whole     |
      | crashes | not there | not whole |

  Scenario: Shards stay active when a snapshot cannot be written
    Given a single VM with a data folder and active shards
    When a snapshot is due and cannot be written
    Then the shards of the VM are still active
