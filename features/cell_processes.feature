Feature: A cell of daemon processes recovers from kills, pauses and platform faults

  Scenario Outline: A cell of daemon processes recovers after <fault>
    Given a cell of 4 daemon processes and a platform stand-in
    When in the cell of daemon processes <fault>
    Then the cell of daemon processes converges with a lead that answers
    And the stored lead, table and shard pairs never reverted to an older epoch

    Examples:
      | fault                                               |
      | the lead is killed                                  |
      | the lead is frozen past its lease and wakes         |
      | the platform hangs for 8 s and the lead is killed   |
      | a third of all write answers is lost for 6 s       |
      | the lead is stopped gracefully and started again    |
