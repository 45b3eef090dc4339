Feature: The command line reports results, errors and remedies

  Scenario Outline: Every command has a help text
    When the command line runs <command> --help
    Then the command line exits with 0 and prints "<part>"

    Examples:
      | command          | part              |
      |                  | Exit codes:       |
      | serve            | --settings        |
      | settings         | apply             |
      | settings show    | --json            |
      | settings check   | without any daemon |
      | settings diff    | exit code 1       |
      | settings apply   | --wait            |
      | settings history | newest first      |
      | settings applied | in force          |
      | settings init    | --platform-url    |
      | jobs             | --server          |
      | endpoints        | --token-file      |
      | teams usage      | forecast          |
      | status           | lead              |
      | trace            | X-Request-Id      |
      | token new        | hash              |

  Scenario Outline: Settings commands exit with a specific code
    Given a settings server with the teams quetzal and kestrel
    And a settings file t.jsonc with {"weight": 3, /* by the board */ "token_hashes": []}
    And a settings file bad.jsonc with {"weigth": 3, "weight": -3}
    And a settings file torn.jsonc with {"weight": 3
    When <sender> runs <command>
    Then the command line exits with <code> and prints "<part>"

    Examples:
      | sender   | command                                              | code | part                              |
      | operator | settings show                                        | 0    | /teams/quetzal        1           |
      | operator | settings show /teams/quetzal                         | 0    | // /teams/quetzal version 1       |
      | operator | settings show teams/quetzal --json                   | 0    | "version": 1                      |
      | operator | settings show /teams/nobody                          | 6    | error: not_found                  |
      | operator | settings show /team                                  | 6    | use /fleet or /teams/TEAM         |
      | quetzal  | settings show /teams/kestrel                         | 5    | error: forbidden                  |
      | stranger | settings show                                        | 5    | error: unauthorized               |
      | operator | settings check /teams/quetzal t.jsonc                | 0    | valid settings of /teams/quetzal  |
      | operator | settings check /teams/quetzal bad.jsonc              | 3    | /teams/quetzal/weigth  unknown key; did you mean 'weight'? |
      | operator | settings check /teams/quetzal bad.jsonc              | 3    | 2 faults                          |
      | operator | settings check /teams/quetzal torn.jsonc             | 3    | line 1 column                     |
      | operator | settings check /teams/quetzal absent.jsonc           | 2    | No such file                      |
      | operator | settings diff /teams/quetzal t.jsonc                 | 1    | + /teams/quetzal/weight  3        |
      | operator | settings diff /teams/quetzal bad.jsonc               | 3    | what to do:                       |
      | operator | settings apply /teams/quetzal t.jsonc --yes --wait   | 0    | in force on 3 of 3                |
      | operator | settings apply /teams/quetzal t.jsonc --version 1    | 0    | /teams/quetzal is at version 2    |
      | operator | settings apply /teams/new t.jsonc --version 0        | 0    | /teams/new is at version 1        |
      | operator | settings apply /teams/quetzal t.jsonc --version 7    | 4    | current: version 1 by operator    |
      | operator | settings apply /teams/quetzal t.jsonc                | 1    | Change /teams/quetzal version 1?  |
      | quetzal  | settings apply /teams/quetzal t.jsonc --version 1    | 5    | only operators change             |
      | operator | settings history /teams/quetzal                      | 0    | what changed                      |
      | operator | settings applied                                     | 0    | v2                                |
      | operator | settings apply /teams/quetzal t.jsonc --wait 31      | 2    | 0<=x<=30                          |

  Scenario: A member that does not confirm a change is reported
    Given a settings server with the teams quetzal and kestrel
    And a settings file t.jsonc with {"weight": 3}
    And settings member v2 is stopped without being suspected
    When operator runs settings apply /teams/quetzal t.jsonc --yes --wait 1
    Then the command line exits with 9 and prints "not confirmed: v2"

  Scenario: The history shows the changed paths
    Given a settings server with the teams quetzal and kestrel
    And a settings file t.jsonc with {"weight": 3}
    When operator runs settings apply /teams/quetzal t.jsonc --yes
    And operator runs settings history /teams/quetzal
    Then the command line exits with 0 and prints "/weight"

  Scenario Outline: An unreachable daemon or missing file is reported
    Given a command line without a daemon
    When operator runs <command>
    Then the command line exits with <code> and prints "<part>"

    Examples:
      | command       | code | part               |
      | status        | 7    | error: unreachable |
      | jobs --json   | 7    | "code": "unreachable" |
      | serve --settings absent.jsonc | 3 | error: invalid_settings |

  Scenario Outline: Missing options and unknown commands are reported
    When the command line runs <command>
    Then the command line exits with 2 and prints "<part>"

    Examples:
      | command                    | part                |
      | status                     | --server            |
      | status --server http://x   | GREENGAGETACK_TOKEN |
      | stauts                     | No such command     |

  Scenario Outline: Responses of a daemon are printed as tables and trees
    Given a command line with a daemon that returns canned responses
    When operator runs <command>
    Then the command line exits with 0 and prints "<part>"

    Examples:
      | command        | part                                                     |
      | jobs           | quetzal  routes     3  running    24/32     6/8          4  12,345      10       1    2.5  v1 |
      | jobs routes    | 24/32                                                    |
      | jobs --json    | "finished_samples": 24                                   |
      | status         | cell c, lead v1 (epoch 4), table revision 9              |
      | status         | v2      b                  127.0.0.1:2  live   no        |
      | trace van-7    | entry POST /v1/completions                               |
      | trace van-7    | │  └─ engine                                             |
      | trace van-7    | └─ owner                                                 |
      | trace van-7    | request van-7: 4 spans on 2 daemons                      |
      | endpoints      | e1        engine  -       -                                       |
      | teams usage    | quetzal    900      1,000  90.0%     1,200      2.50      2 h 05 min       3/8  warning |
      | teams usage    | kestrel: not known now: its owner is away                |
