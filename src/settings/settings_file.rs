/// an example of a whole settings file, as `flamingostand example-settings` prints it.
pub const EXAMPLE: &str = include_str!("../../resources/settings.example.json");
