"""greengagetack.replicas: health and load of the replicas of services."""
