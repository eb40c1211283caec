"""Control of replicas: session, duties, claims, placement."""
