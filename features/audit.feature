Feature: The soak's audit finds a breach of every kind

  Scenario: A log without a breach passes the audit
    Given the log of a soak without a breach
    Then the audit finds nothing

  Scenario Outline: A planted breach is found
    Given the log of a soak without a breach
    When the log is changed by: <plant>
    Then the audit finds only: <kind>

    Examples:
      | plant                      | kind                       |
      | run a key again            | key ran twice              |
      | run a request again        | request ran twice          |
      | run a refused call         | refused call ran           |
      | answer without a run       | answered call did not run  |
      | answer a key differently   | key answered differently   |
      | deliver a sample again     | sample doubled             |
      | lose a sample              | sample missing             |
      | deliver an unasked sample  | sample unasked             |
      | tear a sample              | sample torn                |
      | deliver a stale sample     | sample stale               |
      | name a wrong version       | versions wrong             |
      | name no version            | versions wrong             |
      | name half the versions     | versions wrong             |
      | swap two answers           | answer torn                |
      | tear the start of a cut answer | answer torn            |
      | see an older setting       | setting went back          |
      | overwrite a setting        | setting lost               |
      | leave a daemon behind      | setting not in force       |
      | carry out an old order     | order out of sequence      |
      | send work to a leaver      | leaving endpoint got work  |
      | cut a request by a stop    | planned stop cut a request |
      | lose a call by a stop      | planned stop cut a request |
      | end a stop with an error   | planned stop cut a request |
      | answer no call             | load idle                  |
      | answer no caller           | load idle                  |
      | accept no setting          | load idle                  |

  Scenario: Every check has a planted breach
    Then each kind of breach is found in at least one log with a planted breach
