Feature: The member list of daemons

  Scenario Outline: The largest VM ranks first in the takeover of a claim
    Given daemons with <cores> cores, of which "a" is the local one
    Then the local daemon's rank without <former> is <rank>

    Examples:
      | cores              | former | rank |
      | a:2                | none   | 0    |
      | a:0.5 b:2 c:2      | none   | 2    |
      | a:2 b:0.5 c:0.5    | none   | 0    |
      | a:0.5 b:2 c:2      | b      | 1    |
      | a:2 b:2.5 c:0.5    | b      | 0    |

  Scenario: The order of equal VMs differs between claims
    Then 5 equal daemons have distinct ranks that differ between claims

  Scenario: The addresses of the members are decoded again only after a change
    Given daemons with a:1 b:1 c:1 cores, of which "a" is the local one
    Then the roster returns the same 3 addresses each time
    When daemon "d" is listed as well
    Then the roster returns the same 4 addresses each time

  Scenario Outline: The successor is the first-ranked daemon that polled recently
    Given daemons with <cores> cores, of which "a" is the local one
    When daemons <heard> have polled the local one
    Then the successor is <successor>

    Examples:
      | cores          | heard | successor |
      | a:2 b:0.5 c:1  | b,c   | c         |
      | a:2 b:0.5 c:1  | b     | b         |
      | a:2 b:0.5 c:1  | d     | none      |

  Scenario: A daemon keeps itself registered, with one write each time
    Given a roster on an in-memory store
    When 5 other daemons register while it does
    Then it is listed after 6 writes in total
    When its entry is removed
    Then it is listed after 7 writes in total

  Scenario Outline: The dispatcher removes daemons that have stopped polling it
    Given daemons with a:1 b:1 c:1 cores, of which "a" is the local one
    When <seconds> s pass (dispatcher: <runs>) and only <heard> polls the local one
    Then the listed daemons are <listed>

    Examples:
      | runs | seconds | heard | listed |
      | yes  | 100     | b     | a,b,c  |
      | yes  | 130     | b     | a,b    |
      | no   | 130     | b     | a,b,c  |
