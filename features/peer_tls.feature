Feature: Peer links use mutual TLS where the settings name keys

  Scenario Outline: Only a daemon with a certificate of the authority is served
    Given a daemon that asks peers for certificates
    When a peer connects with <credentials>
    Then the peer is <result>

    Examples:
      | credentials                      | result  |
      | a certificate of the authority   | served  |
      | a certificate of another one     | refused |
      | an expired certificate           | refused |
      | no certificate                   | refused |
      | no TLS at all                    | refused |
      | TLS 1.2                          | refused |

  Scenario: A daemon refuses a server of another authority
    Given a daemon that asks peers for certificates
    When a peer that trusts another authority connects
    Then the peer is refused

  Scenario Outline: Unusable files are named at start
    When peer TLS is set up with <files>
    Then peer TLS is refused as bad_tls_files

    Examples:
      | files                    |
      | a missing file           |
      | a key of another daemon  |
