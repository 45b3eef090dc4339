Feature: A cell of real processes survives kills, freezes and platform faults

  Scenario Outline: In a cell of real daemons <fault>
    Given a platform stand-in and 4 daemons of one cell as processes
    When in the cell of processes <fault>
    Then the cell of processes is whole again with a lead that answers
    And the platform's history of lead, table and shard pairs only moved forward

    Examples:
      | fault                                               |
      | the lead is killed                                  |
      | the lead is frozen past its lease and wakes         |
      | the platform hangs for 8 s and the lead is killed   |
      | a third of all write answers is lost for 6 s       |
      | the lead is stopped gracefully and started again    |
