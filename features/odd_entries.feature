Feature: An odd entry of another writer does not keep daemons from the others

  # Guards against readers of the list that end, or no longer follow it.
  Scenario Outline: One entry among the replicas' is <entry>
    Given a store that lists two replicas
    When another writer leaves an entry that is <entry>, <moment>
    And a third replica registers and one of the two leaves
    Then a daemon that reads the store uses just the replicas that are there
    And so does a daemon that copies from it
    And neither has failed or stopped following

    Examples: before the daemons list
      | entry                                | moment               |
      | nested 100000 deep                   | before they list     |
      | nested 100000 deep in an unused field | before they list     |
      | nested 500 deep                      | before they list     |
      | an integer of 31 digits              | before they list     |
      | an integer of 5000 digits            | before they list     |
      | an integer of 64 bits                | before they list     |
      | a number beyond all floats           | before they list     |
      | not a number                         | before they list     |
      | half of a surrogate pair             | before they list     |
      | not in UTF-8                         | before they list     |
      | with port 70000                      | before they list     |
      | with port 0                          | before they list     |
      | with port -1                         | before they list     |
      | with a port of 40 digits             | before they list     |
      | with a port of another script        | before they list     |
      | with a name for an address           | before they list     |
      | with slots of 10 to the 30           | before they list     |
      | with negative slots                  | before they list     |
      | cold for 10 to the 300 ms            | before they list     |
      | started at a negative time           | before they list     |
      | under an identifier with a line feed | before they list     |

    Examples: while the daemons watch
      | entry                                | moment               |
      | nested 100000 deep                   | while they watch     |
      | nested 500 deep                      | while they watch     |
      | an integer of 31 digits              | while they watch     |
      | a number beyond all floats           | while they watch     |
      | not a number                         | while they watch     |
      | half of a surrogate pair             | while they watch     |
      | with port 70000                      | while they watch     |
      | with slots of 10 to the 30           | while they watch     |

  Scenario Outline: A replica that was listed becomes odd
    Given a store that lists two replicas
    When another writer replaces the entry of one by one that is <entry>
    Then a daemon that reads the store uses just the replicas that are there
    And so does a daemon that copies from it
    And neither has failed or stopped following

    Examples:
      | entry                   |
      | nested 100000 deep      |
      | an integer of 31 digits |
      | with port 70000         |

  Scenario: A job that is nested too deeply gets a coded error
    When a caller sends a job that is nested 100000 deep
    Then the error is InvalidRequest
