{
    "instance": {{Node|json}},
    "dataCentre": {{Zone|json}},
    "storeAddress": {{Platform.Addr|json}},
    "callerAddress": "{{Listen.Front}}",
    "readinessAddress": "{{Listen.Ready}}",
    "peerAddress": "{{Listen.Control}}",
    "peerSeeds": [{{#Seeds}}{{.|json}}{{,}}{{/Seeds}}],
    "metricsAddress": "{{Ip}}:9464",
    "peerKey": "replace-this-key-before-opening-the-network",
    "graceMilliseconds": {{Bounds.GraceS}}000,
    "retentionMilliseconds": {{Bounds.StatusS}}000,
    "storeWritesPerSecond": "{{Platform.WritesPerS}}",
    "quotaWindowSeconds": "{{Bounds.QuotaWindowS}}",
    "quotaOverShare": "{{Bounds.QuotaOver}}",
    "quotaSlack": "{{Bounds.QuotaSlack}}",
    "batchReserve": "demand"
}
