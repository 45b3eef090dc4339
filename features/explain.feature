Feature: A request's timeline is reconstructed from the daemons' logs

  Scenario Outline: The lines of a request are selected and sorted by time
    Given logs of two daemons about a job with an item that was moved
    When "<request>" is explained
    Then the timeline contains <lines>

    Examples:
      | request  | lines                                                                          |
      | item-1   | accepted, opened, left the store, run broken, run completed, scored, committed |
      | job-1    | accepted, opened, left the store, committed                                    |
      | reward-1 | accepted, opened, left the store, scored, committed                            |
      | call-1   | left the store, refused                                                        |

  Scenario: A request that is in no log
    Given logs of two daemons about a job with an item that was moved
    When "nobody" is explained
    Then the command ends with code 6

  Scenario: Lines that are not structured are skipped
    Given a log with broken lines
    When "call-1" is explained
    Then the timeline contains refused

  Scenario Outline: The log rate is limited and dropped lines are reported
    When a daemon logs 5000 lines within <seconds> s
    Then between <least> and <most> of them are written
    And a later line reports the number of dropped lines
    And all warnings are written

    Examples:
      | seconds | least | most |
      | 0       | 2000  | 2000 |
      | 1       | 2390  | 2400 |
      | 5       | 3990  | 4000 |
