Feature: Daemons that list themselves

  Scenario Outline: The largest VM is the first to take a claim over
    Given daemons of <cores> cores, "a" being this one
    Then this one's place without <former> is <rank>

    Examples:
      | cores              | former | rank |
      | a:2                | none   | 0    |
      | a:0.5 b:2 c:2      | none   | 2    |
      | a:2 b:0.5 c:0.5    | none   | 0    |
      | a:0.5 b:2 c:2      | b      | 1    |
      | a:2 b:2.5 c:0.5    | b      | 0    |

  Scenario: Equal VMs have an order of their own for each claim
    Then of 5 equal daemons each has another place, and not the same for each claim

  Scenario Outline: Who is named as successor
    Given daemons of <cores> cores, "a" being this one
    When daemons <heard> have been heard of
    Then the successor is <successor>

    Examples:
      | cores          | heard | successor |
      | a:2 b:0.5 c:1  | b,c   | c         |
      | a:2 b:0.5 c:1  | b     | b         |
      | a:2 b:0.5 c:1  | d     | none      |

  Scenario: A daemon stays on the list, with one write each time it is needed
    Given a roster on a store in memory
    When 5 other daemons list themselves while it does
    Then it is listed after 6 writes in all
    When its entry is removed
    Then it is listed after 7 writes in all

  Scenario Outline: Daemons that were replaced leave the list
    Given daemons of a:1 b:1 c:1 cores, "a" being this one
    When this one runs the jobs <runs>, <seconds> s pass and only <heard> is heard of
    Then the daemons that are listed are <listed>

    Examples:
      | runs | seconds | heard | listed |
      | yes  | 100     | b     | a,b,c  |
      | yes  | 130     | b     | a,b    |
      | no   | 130     | b     | a,b,c  |
