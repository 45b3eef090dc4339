Feature: A request's fate is told from the daemons' logs

  Scenario Outline: Lines that belong to a request are gathered in order
    Given logs of two daemons on a job with an item that moved
    When "<request>" is explained
    Then the story tells <lines>

    Examples:
      | request | lines                                                         |
      | item-1  | accepted, opened, left the store, run broken, run completed, committed |
      | job-1   | accepted, opened, left the store, committed                   |
      | call-1  | left the store, refused                                       |

  Scenario: A request that no log names
    Given logs of two daemons on a job with an item that moved
    When "nobody" is explained
    Then the command ends with code 6

  Scenario: What is no structured line is passed over
    Given a log with broken lines
    When "call-1" is explained
    Then the story tells refused

  Scenario Outline: A burst of lines is bounded, and the loss is said
    When a daemon logs 5000 lines within <seconds> s
    Then between <least> and <most> of them are written
    And a later line says how many were dropped
    And warnings were all written

    Examples:
      | seconds | least | most |
      | 0       | 2000  | 2000 |
      | 1       | 2390  | 2400 |
      | 5       | 3990  | 4000 |
