"""Commands of jackdawcrankctl, one module per command or group of them."""
