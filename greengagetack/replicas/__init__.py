"""greengagetack.replicas: the replicas of services, their health and load."""
