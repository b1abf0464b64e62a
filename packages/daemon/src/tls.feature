Feature: TLS for callers, operators and peers when a certificate is configured

  Scenario: Two boxes with a certificate
    Given two boxes as processes with a certificate
    Then they exchange heartbeats over TLS, serve callers and operators over HTTPS, and reject plain HTTP
